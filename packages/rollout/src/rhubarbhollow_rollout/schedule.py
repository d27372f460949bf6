"""The steps of exposure of a rollout over its duration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from rhubarbhollow_rollout.view import WHOLE_PERMILLE

# A tenth of the requests may go to a bad version (``ExposureShare``).
# Answers that the nodes could not count, such as those that arrive
# after a caller left, need the difference.
SHARES_PERMILLE: Final = (30, 60, 90)
# The parts of the duration at which the higher shares begin.
RAISE_AT: Final = (0.0, 0.06, 0.12)
# Other new upstreams are exposed after each of these parts.
ROTATION_PARTS: Final = 8
# A rollout completes this part of its duration before the deadline, so
# that a change of the leader or a slow commit does not pass it.
RESERVE_PART: Final = 0.1
MIN_RESERVE_SECONDS: Final = 0.4
MAX_RESERVE_SECONDS: Final = 3.0
# The old upstreams stop without draining as soon as the rollout has
# completed. All calls go to the new version for this time before, so
# that those of the old one have ended; it is short, because a version
# that is found bad in it got more than its share.
MIN_HANDOVER_SECONDS: Final = 0.3
MAX_HANDOVER_SECONDS: Final = 1.2
HANDOVER_PART: Final = 0.06


@dataclass(frozen=True, slots=True)
class Exposure:
    """The share and the step that nodes should have."""

    share_permille: int
    step: int


@dataclass(frozen=True, slots=True)
class Schedule:
    """Plan the steps of a rollout of ``duration`` seconds."""

    duration: float

    @property
    def completes_at(self) -> float:
        """Return the age of the order at which a good version wins."""
        reserve = self.duration * RESERVE_PART
        return self.duration - min(
            MAX_RESERVE_SECONDS,
            max(MIN_RESERVE_SECONDS, reserve),
            self.duration / 2,
        )

    @property
    def hands_over_at(self) -> float:
        """Return the age at which all calls go to the new version."""
        handover = min(
            MAX_HANDOVER_SECONDS,
            max(MIN_HANDOVER_SECONDS, self.duration * HANDOVER_PART),
            self.completes_at / 2,
        )
        return self.completes_at - handover

    def exposure(self, elapsed: float, current: int) -> Exposure:
        """Return the exposure at an age, without evidence against it.

        The share rises by one step at most from the current one.
        """
        if elapsed >= self.hands_over_at:
            return Exposure(WHOLE_PERMILLE, ROTATION_PARTS)
        part = elapsed / self.duration
        allowed = max(
            share
            for share, begins in zip(SHARES_PERMILLE, RAISE_AT, strict=True)
            if part >= begins
        )
        higher = [share for share in SHARES_PERMILLE if share > current]
        share = min(allowed, higher[0]) if higher else current
        return Exposure(
            max(share, min(current, allowed)), int(part * ROTATION_PARTS)
        )

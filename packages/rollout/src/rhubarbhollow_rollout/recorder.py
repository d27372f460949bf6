"""A node's evidence about the two versions of a rollout."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from rhubarbhollow_rollout.attempt import AttemptEnd
from rhubarbhollow_rollout.messages import RolloutEvidence

# An attempt is slow if it takes this many times as long as attempts of
# its route at the old version take on average at this time. Machines
# differ by factors up to 1.7 from their mean; with 2.2 one of 16 good
# versions was rolled back where some machines are slowed down at times.
SLOW_FACTOR: Final = 2.5
# The first attempts of a route say little about its usual time.
MIN_REFERENCE_CALLS: Final = 5
# Follows a day that becomes slow within about 20 calls of a route.
REFERENCE_WEIGHT: Final = 0.05
# A process that is killed breaks all its calls at once, which says
# nothing about its version; breaks of an upstream within this time
# count as one.
BREAK_SECONDS: Final = 1.0


@dataclass(slots=True)
class _RouteCounts:
    # Calls and failed, broken and slow ones, by version.
    stable: list[int] = field(default_factory=lambda: [0, 0, 0, 0])
    new: list[int] = field(default_factory=lambda: [0, 0, 0, 0])


@dataclass(slots=True)
class _Reference:
    seconds: float = 0.0
    calls: int = 0

    def observe(self, seconds: float) -> None:
        self.calls += 1
        weight = max(REFERENCE_WEIGHT, 1 / self.calls)
        self.seconds += weight * (seconds - self.seconds)

    def is_exceeded_by(self, seconds: float) -> bool:
        return (
            self.calls >= MIN_REFERENCE_CALLS
            and seconds > SLOW_FACTOR * self.seconds
        )


class EvidenceRecorder:
    """Count the ended attempts of one rollout by route and version."""

    def __init__(self, number: int) -> None:
        self._number = number
        self._counts: dict[str, _RouteCounts] = {}
        self._references: dict[str, _Reference] = {}
        self._broken_at: dict[str, float] = {}

    @property
    def number(self) -> int:
        """Return the number of the rollout."""
        return self._number

    def record(
        self,
        route: str,
        upstream: str,
        end: AttemptEnd,
        seconds: float,
        now: float,
        *,
        is_new: bool,
        is_warm: bool,
    ) -> None:
        """Count an attempt; ``is_warm`` is false just after a start.

        The time of a cold upstream is no evidence.
        """
        if not self._is_evidence(upstream, end, now):
            return
        reference = self._references.setdefault(route, _Reference())
        is_slow = is_warm and reference.is_exceeded_by(seconds)
        if end is AttemptEnd.CANCELLED and not is_slow:
            # The caller left early, so nothing is known of the answer.
            return
        if end is AttemptEnd.ANSWERED and is_warm and not is_new:
            reference.observe(seconds)
        counts = self._counts.setdefault(route, _RouteCounts())
        calls = counts.new if is_new else counts.stable
        calls[0] += 1
        if end is AttemptEnd.FAILED:
            calls[1] += 1
        elif end is AttemptEnd.BROKEN:
            calls[2] += 1
        elif is_slow:
            calls[3] += 1

    def take(self) -> tuple[RolloutEvidence, ...]:
        """Return the counts since the last call."""
        taken = tuple(
            RolloutEvidence(self._number, route, *counts.stable, *counts.new)
            for route, counts in self._counts.items()
        )
        self._counts.clear()
        return taken

    def _is_evidence(self, upstream: str, end: AttemptEnd, now: float) -> bool:
        if end in (AttemptEnd.TURNED_AWAY, AttemptEnd.OTHER):
            return False
        if end is not AttemptEnd.BROKEN:
            return True
        broken_at = self._broken_at.get(upstream)
        if broken_at is not None and now < broken_at + BREAK_SECONDS:
            return False
        self._broken_at[upstream] = now
        return True

"""Connection history of one control instance, as a candidate."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from rhubarbhollow_distribution.control_address import ControlAddress

SUSPECT_CAP_SECONDS: Final = 300.0
# Failed attempts after which other candidates take precedence.
ATTEMPTS_PER_TURN: Final = 2
# Limits the exponent of the exponential backoff.
MAX_DOUBLINGS: Final = 16


@dataclass(slots=True)
class SourceCandidate:
    """Track connection failures and suspicions of a control instance.

    ``rank`` orders candidates that are otherwise equal; it is below 1
    for instances of the local data centre.  ``not_before`` and
    ``suspect_until`` are monotonic times in seconds.  A seed comes from
    the settings of this process.  ``unlisted_since`` is the time of the
    first of the sources' latest lists that lack the instance.
    """

    address: ControlAddress
    rank: float
    failures: int = 0
    not_before: float = 0.0
    suspicions: int = 0
    suspect_until: float = 0.0
    is_seed: bool = False
    unlisted_since: float | None = None

    @property
    def is_local(self) -> bool:
        """Return whether the instance is in the local data centre."""
        return self.rank < 1.0

    def preference(self, now: float) -> tuple[bool, bool, bool, int, float]:
        """Return a sort key; the lowest candidate is tried first."""
        is_backing_off = self.not_before > now
        return (
            is_backing_off,
            # Probably gone: most that are not listed never answer.
            self.unlisted_since is not None,
            self.suspect_until > now,
            # Lets other candidates take precedence over an instance
            # that keeps failing.
            0 if is_backing_off else self.failures // ATTEMPTS_PER_TURN,
            self.not_before if is_backing_off else self.rank,
        )

    def note_welcome(self) -> None:
        """Reset the failures after a successful attempt."""
        self.failures = 0
        self.not_before = 0.0

    def note_failure(self, retry_at: float) -> None:
        """Record a failed attempt; the next is at ``retry_at``."""
        self.not_before = retry_at
        self.failures += 1

    def suspect(self, now: float, first_seconds: float, jitter: float) -> None:
        """Avoid the instance for a time that doubles with each call.

        ``first_seconds`` is the duration of the first suspicion, before
        ``jitter``.
        """
        doubled = first_seconds * 2.0 ** min(self.suspicions, MAX_DOUBLINGS)
        self.suspicions += 1
        self.suspect_until = now + min(SUSPECT_CAP_SECONDS, doubled) * jitter

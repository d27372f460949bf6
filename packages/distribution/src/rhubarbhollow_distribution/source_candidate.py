"""What a node has found out about one control instance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from rhubarbhollow_distribution.control_address import ControlAddress

SUSPECT_SECONDS: Final = 30.0
SUSPECT_CAP_SECONDS: Final = 300.0
TRIES_PER_TURN: Final = 2
MAX_DOUBLINGS: Final = 16


@dataclass(slots=True)
class SourceCandidate:
    """Remember failures and suspicions of one control instance.

    ``rank`` is below 1 for instances of the local data centre.
    """

    address: ControlAddress
    rank: float
    failures: int = 0
    not_before: float = 0.0
    suspicions: int = 0
    suspect_until: float = 0.0

    @property
    def is_local(self) -> bool:
        """Tell whether it is an instance of the local data centre."""
        return self.rank < 1.0

    def preference(self, now: float) -> tuple[bool, bool, int, float]:
        """Return a sort key: the candidate to try first is lowest."""
        is_early = self.not_before > now
        return (
            is_early,
            self.suspect_until > now,
            # A dead instance must not keep the others from their turn.
            0 if is_early else self.failures // TRIES_PER_TURN,
            self.not_before if is_early else self.rank,
        )

    def note_welcome(self) -> None:
        """Forget the failures before a successful attempt."""
        self.failures = 0
        self.not_before = 0.0

    def note_failure(self, retry_at: float) -> None:
        """Note a failed attempt; the next one is at ``retry_at``."""
        self.not_before = retry_at
        self.failures += 1

    def suspect(self, now: float, jitter: float) -> None:
        """Avoid the instance for a time that doubles at each call."""
        doubled = SUSPECT_SECONDS * 2.0 ** min(self.suspicions, MAX_DOUBLINGS)
        self.suspicions += 1
        self.suspect_until = now + min(SUSPECT_CAP_SECONDS, doubled) * jitter

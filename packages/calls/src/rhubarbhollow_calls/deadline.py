"""The time by which a call has to end, on every hop."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final

from result import Err, Ok, Result

# allows for the way between two nodes, whose clocks are not compared
HOP_MARGIN_MS: Final = 1
# far below the time for which a claim on an idempotency key is kept
MAX_DEADLINE_MS: Final = 60 * 60 * 1000
MAX_DEADLINE_DIGITS: Final = 7


class DeadlineFault(Enum):
    """Say why a deadline header cannot be used."""

    EMPTY = "empty"
    NOT_A_NUMBER = "not_a_number"
    TOO_LARGE = "too_large"


@dataclass(frozen=True, slots=True)
class Deadline:
    """Hold an end in seconds on this node's monotonic clock."""

    expires_at: float

    @classmethod
    def after_ms(cls, budget_ms: float, now: float) -> Deadline:
        """Build the deadline ``budget_ms`` milliseconds from now."""
        return cls(now + budget_ms / 1000)

    def remaining_ms(self, now: float) -> int:
        """Return the whole milliseconds that are left, at least 0."""
        return max(0, int((self.expires_at - now) * 1000 + 1e-6))

    def remaining_seconds(self, now: float) -> float:
        """Return the seconds that are left, at least 0."""
        return max(0.0, self.expires_at - now)

    def is_expired(self, now: float) -> bool:
        """Return whether no time is left."""
        return now >= self.expires_at

    def earlier(self, other: Deadline) -> Deadline:
        """Return the one of both that ends first."""
        return self if self.expires_at <= other.expires_at else other


def format_deadline(deadline: Deadline, now: float) -> bytes:
    """Return the budget for the next hop, less than this hop has."""
    return b"%d" % max(0, deadline.remaining_ms(now) - HOP_MARGIN_MS)


def parse_deadline(
    value: bytes, now: float
) -> Result[Deadline, DeadlineFault]:
    """Read a budget in whole milliseconds as another node sent it."""
    if not value:
        return Err(DeadlineFault.EMPTY)
    if not value.isdigit():
        return Err(DeadlineFault.NOT_A_NUMBER)
    if len(value) > MAX_DEADLINE_DIGITS or int(value) > MAX_DEADLINE_MS:
        return Err(DeadlineFault.TOO_LARGE)
    return Ok(Deadline.after_ms(int(value), now))


def narrow_deadline(
    header: bytes | None, timeout_ms: int, now: float
) -> Result[Deadline, DeadlineFault]:
    """Return the earlier of the caller's deadline and the route's."""
    own = Deadline.after_ms(timeout_ms, now)
    if header is None:
        return Ok(own)
    return parse_deadline(header, now).map(own.earlier)

"""The time by which a call has to end, on every hop."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# allows for the way between two nodes, whose clocks are not compared
HOP_MARGIN_MS: Final = 1


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


def format_deadline(deadline: Deadline, now: float) -> bytes:
    """Return the budget for the next hop, less than this hop has."""
    return b"%d" % max(0, deadline.remaining_ms(now) - HOP_MARGIN_MS)

"""Call deadlines and the time budget that each hop passes on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# Milliseconds taken off the budget at each hop for the network transit
# time, which cannot be measured because clocks are not compared.
HOP_MARGIN_MS: Final = 1


@dataclass(frozen=True, slots=True)
class Deadline:
    """Hold an expiry time in seconds on this node's monotonic clock."""

    expires_at: float

    @classmethod
    def after_ms(cls, budget_ms: float, now: float) -> Deadline:
        """Create the deadline ``budget_ms`` after ``now``."""
        return cls(now + budget_ms / 1000)

    def remaining_ms(self, now: float) -> int:
        """Return the remaining whole milliseconds, at least 0."""
        return max(0, int((self.expires_at - now) * 1000 + 1e-6))


def format_deadline(deadline: Deadline, now: float) -> bytes:
    """Encode the next hop's budget in milliseconds, at least 0.

    It is the remaining time less ``HOP_MARGIN_MS``.
    """
    return b"%d" % max(0, deadline.remaining_ms(now) - HOP_MARGIN_MS)

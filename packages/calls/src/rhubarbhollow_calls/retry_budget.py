"""A budget that keeps retries a share of recent calls."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from rhubarbhollow_wire.clock import Clock

# calls older than a few of these no longer pay for retries.  What was
# saved up is spent at once when a service begins to fail, beside what
# comes in then: over 10 s that is 1.4 times the ratio.
BUDGET_MEMORY_SECONDS: Final = 4.0


class RetryBudget:
    """Grant retries as a share of calls plus a small steady rate.

    Each call deposits ``ratio`` tokens, which fade with the age of the
    call; a retry takes one. The steady rate lets a node with few calls
    retry at all, and saves up one second's worth at most.
    """

    __slots__ = (
        "_clock",
        "_minimum_cap",
        "_minimum_per_second",
        "_ratio",
        "_share_tokens",
        "_steady_tokens",
        "_updated_at",
    )

    def __init__(
        self, ratio: float, minimum_per_second: float, clock: Clock
    ) -> None:
        self._ratio = ratio
        self._minimum_per_second = minimum_per_second
        self._minimum_cap = max(1.0, minimum_per_second)
        self._clock = clock
        self._share_tokens = 0.0
        self._steady_tokens = self._minimum_cap if minimum_per_second else 0.0
        self._updated_at = clock.monotonic()

    @property
    def balance(self) -> float:
        """Return the retries that could be granted now."""
        self._advance()
        return self._share_tokens + self._steady_tokens

    def record_call(self) -> None:
        """Deposit the share of one first attempt."""
        self._advance()
        self._share_tokens += self._ratio

    def try_spend(self) -> bool:
        """Take one retry; return whether it was granted."""
        self._advance()
        if self._share_tokens >= 1:
            self._share_tokens -= 1
            return True
        if self._steady_tokens >= 1:
            self._steady_tokens -= 1
            return True
        return False

    def _advance(self) -> None:
        now = self._clock.monotonic()
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        self._updated_at = now
        self._share_tokens *= math.exp(-elapsed / BUDGET_MEMORY_SECONDS)
        self._steady_tokens = min(
            self._minimum_cap,
            self._steady_tokens + elapsed * self._minimum_per_second,
        )

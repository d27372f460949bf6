"""A token budget that limits retries to a share of recent calls."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from rhubarbhollow_wire.clock import Clock

# Time constant of the exponential decay of tokens. Calls older than a
# few time constants no longer pay for retries. When a service begins to
# fail, the saved tokens are spent at once, in addition to those that
# new calls deposit: over 10 s that amounts to 1.4 times the ratio.
BUDGET_DECAY_SECONDS: Final = 4.0


class RetryBudget:
    """Grant retries as a share of calls plus a small steady rate.

    Each call deposits ``ratio`` tokens, which decay with the age of the
    call; a retry takes one token. The steady rate lets a node with few
    calls retry at all. Its tokens are limited to those of one second,
    or to one token if the rate is lower.
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
        """Return the number of tokens that are available now."""
        self._advance()
        return self._share_tokens + self._steady_tokens

    def record_call(self) -> None:
        """Deposit ``ratio`` tokens for the first attempt of a call."""
        self._advance()
        self._share_tokens += self._ratio

    def try_spend(self) -> bool:
        """Take one token if available; return whether it was."""
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
        self._share_tokens *= math.exp(-elapsed / BUDGET_DECAY_SECONDS)
        self._steady_tokens = min(
            self._minimum_cap,
            self._steady_tokens + elapsed * self._minimum_per_second,
        )

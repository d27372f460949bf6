"""One timer for the deadlines of all calls in flight."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from rhubarbhollow_wire.clock import Clock


class Expirable(Protocol):
    """End at a time on the monotonic clock, unless ended before."""

    expires_at: float

    def expire(self) -> None:
        """End now."""
        ...


class DeadlineSweep:
    """Expire calls by a timer set for the earliest deadline known.

    A call that ends leaves the timer alone, so that calls with the same
    time limit share one timer in the length of that limit, and a call
    costs no wake-up.  When the timer fires, all calls are looked at.
    """

    __slots__ = ("_calls", "_clock", "_fires_at", "_timer")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._calls: set[Expirable] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._fires_at = float("inf")

    def __len__(self) -> int:
        """Return the number of calls in flight."""
        return len(self._calls)

    def add(self, call: Expirable) -> None:
        """Watch a call."""
        self._calls.add(call)
        if call.expires_at < self._fires_at:
            self._arm(call.expires_at)

    def discard(self, call: Expirable) -> None:
        """Watch a call no more."""
        self._calls.discard(call)

    def run(self) -> None:
        """Expire what is due, and set the timer for what is left."""
        now = self._clock.monotonic()
        due = [call for call in self._calls if call.expires_at <= now]
        for call in due:
            call.expire()
        earliest = min((c.expires_at for c in self._calls), default=None)
        self._disarm()
        if earliest is not None:
            self._arm(earliest)

    def _arm(self, fires_at: float) -> None:
        self._disarm()
        delay = max(0.0, fires_at - self._clock.monotonic())
        self._fires_at = fires_at
        self._timer = asyncio.get_running_loop().call_later(delay, self.run)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._fires_at = float("inf")

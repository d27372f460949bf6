"""A single timer for the deadlines of all calls in flight."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from rhubarbhollow_wire.clock import Clock


class Expirable(Protocol):
    """Expire at a time on the monotonic clock, unless ended before."""

    expires_at: float

    def expire(self) -> None:
        """End the call, since its deadline has passed."""
        ...

    def stop(self) -> None:
        """End the call, since the process stops."""
        ...


class DeadlineSweep:
    """Expire calls with one timer, set to the earliest known deadline.

    A call that ends does not touch the timer.  Calls with the same
    timeout therefore share one wake-up per timeout period instead of
    one each.  When the timer fires, all calls are checked.
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
        """Add a call; let the timer fire earlier if needed."""
        self._calls.add(call)
        if call.expires_at < self._fires_at:
            self._arm(call.expires_at)

    def discard(self, call: Expirable) -> None:
        """Remove a call; the timer stays as it is."""
        self._calls.discard(call)

    def stop_all(self) -> None:
        """End every call in flight, since the process stops."""
        for call in tuple(self._calls):
            call.stop()

    def run(self) -> None:
        """Expire overdue calls and set the timer for the others."""
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

"""Tests of the timer shared by the deadlines of all calls."""

import asyncio

import uvloop

from rhubarbhollow_calls.io_deadline_sweep import DeadlineSweep
from rhubarbhollow_wire.clock import ManualClock, SystemClock


class Call:
    def __init__(self, sweep, expires_at):
        self._sweep = sweep
        self.expires_at = expires_at
        self.is_expired = asyncio.Event()
        sweep.add(self)

    def expire(self):
        self._sweep.discard(self)
        self.is_expired.set()


def run(main):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())


def test_calls_expire_at_their_deadline_and_not_before():
    async def main():
        clock = ManualClock()
        sweep = DeadlineSweep(clock)
        calls = [Call(sweep, seconds) for seconds in (30, 10, 20)]
        for step, expired in enumerate((0, 1, 2, 3)):
            sweep.run()
            assert sum(call.is_expired.is_set() for call in calls) == expired
            assert len(sweep) == 3 - expired
            assert sweep._fires_at == (10, 20, 30, float("inf"))[step]
            clock.advance(10)

    run(main)


def test_the_timer_is_moved_only_for_an_earlier_deadline():
    """Guard against a timer update for every call."""

    async def main():
        sweep = DeadlineSweep(ManualClock())
        first = Call(sweep, 10)
        timer = sweep._timer
        sweep.discard(first)
        Call(sweep, 11)
        assert sweep._timer is timer
        Call(sweep, 9)
        assert sweep._timer is not timer

    run(main)


def test_the_event_loop_timer_expires_calls():
    async def main():
        clock = SystemClock()
        sweep = DeadlineSweep(clock)
        Call(sweep, clock.monotonic() + 100)
        call = Call(sweep, clock.monotonic() + 0.01)
        async with asyncio.timeout(10):
            await call.is_expired.wait()

    run(main)

from rhubarbhollow_daemon.summary_schedule import (
    MIN_SECONDS,
    NEVER,
    REPEAT_SECONDS,
    SummarySchedule,
)
from rhubarbhollow_distribution.register_summary import RegisterSummary
from rhubarbhollow_wire.clock import ManualClock

ONE = RegisterSummary("ilala-1", 1, (), ())
TWO = RegisterSummary("ilala-1", 2, (), ())


def test_holds_a_quick_change_back_and_says_until_when():
    clock = ManualClock()
    schedule = SummarySchedule(clock)
    assert schedule.should_send(ONE)
    assert not schedule.should_send(TWO)
    assert schedule.due == MIN_SECONDS
    clock.advance(MIN_SECONDS)
    assert schedule.should_send(TWO)
    assert schedule.due == NEVER


def test_repeats_an_unchanged_summary():
    clock = ManualClock()
    schedule = SummarySchedule(clock)
    assert schedule.should_send(ONE)
    clock.advance(REPEAT_SECONDS / 2)
    assert not schedule.should_send(ONE)
    assert schedule.due == NEVER
    clock.advance(REPEAT_SECONDS / 2)
    assert schedule.should_send(ONE)

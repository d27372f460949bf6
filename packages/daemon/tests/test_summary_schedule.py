"""Timing of a control instance's node summaries."""

from rhubarbhollow_daemon.summary_schedule import (
    MIN_INTERVAL_SECONDS,
    NEVER,
    OTHERS_MIN_INTERVAL_SECONDS,
    OTHERS_REPEAT_INTERVAL_SECONDS,
    REPEAT_INTERVAL_SECONDS,
    SummarySchedule,
)
from rhubarbhollow_distribution.register_summary import RegisterSummary
from rhubarbhollow_wire.clock import ManualClock

ONE = RegisterSummary("ilala-1", 1, (), ())
TWO = RegisterSummary("ilala-1", 2, (), ())


def test_a_change_right_after_a_summary_is_delayed():
    """Guard against one message for each node report.

    A delayed change has a due time, since no event may follow it.
    """
    clock = ManualClock()
    schedule = SummarySchedule(clock)
    assert schedule.should_send(ONE)
    assert not schedule.should_send(TWO)
    assert schedule.due == MIN_INTERVAL_SECONDS
    clock.advance(MIN_INTERVAL_SECONDS)
    assert schedule.should_send(TWO)
    assert schedule.due == NEVER


def test_an_unchanged_summary_is_repeated():
    """Guard against a lost summary that is never sent again."""
    clock = ManualClock()
    schedule = SummarySchedule(clock)
    assert schedule.should_send(ONE)
    clock.advance(REPEAT_INTERVAL_SECONDS / 2)
    assert not schedule.should_send(ONE)
    assert schedule.due == NEVER
    clock.advance(REPEAT_INTERVAL_SECONDS / 2)
    assert schedule.should_send(ONE)


def test_a_new_receiver_gets_the_summary_at_once():
    """Guard against a new leader that waits for the next repetition."""
    clock = ManualClock()
    schedule = SummarySchedule(clock)
    assert schedule.should_send(ONE)
    assert not schedule.should_send(ONE)
    schedule.restart()
    assert schedule.should_send(ONE)


def test_summaries_for_operators_are_sent_less_often():
    """Guard against bytes that grow as the square of instances."""
    clock = ManualClock()
    schedule = SummarySchedule(
        clock, OTHERS_REPEAT_INTERVAL_SECONDS, OTHERS_MIN_INTERVAL_SECONDS
    )
    sent = 0
    for number in range(1_000):
        sent += schedule.should_send(RegisterSummary("c", number, (), ()))
        clock.advance(0.01)
    assert sent == 10
    for _ in range(1_000):
        sent += schedule.should_send(TWO)
        clock.advance(0.01)
    assert sent <= 15

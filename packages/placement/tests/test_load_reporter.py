from dataclasses import replace

from rhubarbhollow_placement.load_reporter import (
    REPEAT_SECONDS,
    LoadReporter,
)
from rhubarbhollow_placement.upstream_load import RouteTime, UpstreamLoad
from rhubarbhollow_wire.clock import ManualClock

TIMES = (RouteTime("lookup", 40), RouteTime("refund", 100))
LOAD = UpstreamLoad("a/desk", 0, 0, 100, TIMES)


def test_a_load_without_change_is_sent_once_in_a_while():
    """Guard against constant traffic of idle nodes."""
    clock = ManualClock()
    reporter = LoadReporter(clock)
    assert reporter.maybe_report(LOAD) == LOAD
    assert reporter.maybe_report(replace(LOAD, work_percent=105)) is None
    clock.advance(REPEAT_SECONDS)
    assert reporter.maybe_report(LOAD) == LOAD


def test_a_change_is_sent_without_the_times_that_are_known():
    reporter = LoadReporter(ManualClock())
    reporter.maybe_report(LOAD)
    changed = replace(LOAD, interactive_ms=20)
    assert reporter.maybe_report(changed) == replace(changed, times=())
    slower = (RouteTime("lookup", 60), RouteTime("refund", 101))
    changed = replace(LOAD, interactive_ms=40, times=slower)
    assert reporter.maybe_report(changed) == replace(changed, times=slower[:1])


def test_a_new_upstream_is_reported_whole():
    """Guard against times of the upstream that was here before."""
    reporter = LoadReporter(ManualClock())
    reporter.maybe_report(LOAD)
    other = replace(LOAD, name="a/desk-2")
    assert reporter.maybe_report(other) == other

"""Placement of calls on local and remote upstreams."""

from random import Random

import pytest

from rhubarbhollow_calls.backlog import NO_BACKLOG, Backlog
from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.call_profile import CallProfile
from rhubarbhollow_calls.call_result import CallResult
from rhubarbhollow_calls.endpoint import Endpoint, EndpointState
from rhubarbhollow_calls.endpoint_table import EndpointTable
from rhubarbhollow_calls.upstream_selector import UpstreamSelector
from rhubarbhollow_wire.clock import ManualClock

PROFILE = CallProfile("lookup", 0.5, 0.5)
LONG_AGO = -100.0


def equal_backlog(seconds):
    return Backlog(seconds, seconds)


def endpoint(name, data_centre, joined_at=LONG_AGO, state=EndpointState.UP):
    return Endpoint(
        name, "s", data_centre, name, "h", 1, 9, state, 1, joined_at
    )


def selector_of(*endpoints, seed=1):
    clock = ManualClock()
    selector = UpstreamSelector("here", clock, Random(seed))
    selector.replace(EndpointTable(1, endpoints))
    selector.clock = clock
    return selector


TWO_LOCAL_ONE_REMOTE = (
    endpoint("a", "here"),
    endpoint("b", "here"),
    endpoint("c", "there"),
)


def test_call_stays_local_while_it_can_be_in_time():
    """A local backlog within the slack sends no call away."""
    selector = selector_of(*TWO_LOCAL_ONE_REMOTE)
    for name in "ab":
        selector.report_backlog(name, equal_backlog(0.2))
    for _ in range(50):
        assert selector.choose("s", (), PROFILE).name in "ab"


def test_call_goes_remote_once_no_local_upstream_is_in_time():
    """A reported backlog drains, after which calls stay local again."""
    selector = selector_of(*TWO_LOCAL_ONE_REMOTE)
    for name in "ab":
        selector.report_backlog(name, equal_backlog(0.9))
    assert selector.choose("s", (), PROFILE).name == "c"
    selector.clock.advance(0.8)
    assert selector.choose("s", (), PROFILE).name in "ab"


def test_call_that_is_late_everywhere_stays_local():
    """A call that cannot be in time must not use remote bandwidth."""
    selector = selector_of(*TWO_LOCAL_ONE_REMOTE)
    for name in "abc":
        selector.report_backlog(name, equal_backlog(5.0))
    assert selector.choose("s", (), PROFILE).name in "ab"


def test_shorter_queue_gets_the_call():
    selector = selector_of(*TWO_LOCAL_ONE_REMOTE)
    selector.report_backlog("a", equal_backlog(0.02))
    selector.report_backlog("b", equal_backlog(0.28))
    assert {selector.choose("s", (), PROFILE).name for _ in range(30)} == {"a"}


def test_calls_sent_since_the_last_report_count():
    """Between two reports, all calls must not go to one upstream."""
    selector = selector_of(endpoint("a", "here"), endpoint("b", "here"))
    chosen = []
    for _ in range(40):
        name = selector.choose("s", (), PROFILE).name
        selector.started(name, "lookup")
        chosen.append(name)
    assert 15 <= chosen.count("a") <= 25


def test_slow_upstream_gets_no_calls_while_another_is_idle():
    selector = selector_of(endpoint("a", "here"), endpoint("b", "here"))
    for _ in range(30):
        for name, seconds in (("a", 0.5), ("b", 0.1)):
            selector.started(name, "lookup")
            selector.finished(
                name, CallResult.ANSWERED, seconds, "lookup", seconds
            )
            selector.report_backlog(name, equal_backlog(0.0))
    chosen = [selector.choose("s", (), PROFILE).name for _ in range(50)]
    assert chosen.count("b") == 50


def test_busy_refusal_of_long_calls_does_not_affect_short_ones():
    """An upstream too busy for a long call may serve a short one."""
    selector = selector_of(*TWO_LOCAL_ONE_REMOTE)
    for name in "ab":
        selector.started(name, "history")
        selector.finished(name, CallResult.BUSY, 0.001, "history")
    assert selector.choose("s", (), PROFILE).name in "ab"


def test_leaving_and_excluded_upstreams_are_not_chosen():
    selector = selector_of(
        endpoint("a", "here"),
        endpoint("b", "here", state=EndpointState.LEAVING),
        endpoint("c", "there"),
    )
    assert selector.choose("s", ("a",), PROFILE).name == "c"
    assert selector.choose("s", ("a", "c"), PROFILE) is None


@pytest.mark.parametrize("seed", range(5))
def test_failing_upstream_is_avoided(seed):
    selector = selector_of(*TWO_LOCAL_ONE_REMOTE, seed=seed)
    for _ in range(6):
        selector.started("a", "lookup")
        selector.finished("a", CallResult.UPSTREAM_ERROR, 0.05, "lookup")
    assert {selector.choose("s", (), PROFILE).name for _ in range(20)} == {"b"}


def test_refused_call_does_not_go_to_a_busy_remote_upstream():
    """A remote backlog is assumed to last, so the call fails at once.

    After ``REMOTE_BACKLOG_HOLD_SECONDS`` it is assumed to drain.
    """
    selector = selector_of(*TWO_LOCAL_ONE_REMOTE)
    selector.report_backlog("c", equal_backlog(0.9))
    selector.clock.advance(0.4)
    assert selector.choose("s", ("a", "b"), PROFILE) is None
    selector.clock.advance(0.4)
    assert selector.choose("s", ("a", "b"), PROFILE).name == "c"


def test_bulk_backlog_does_not_send_interactive_calls_away():
    selector = selector_of(*TWO_LOCAL_ONE_REMOTE)
    for name in "ab":
        selector.report_backlog(name, Backlog(0.02, 0.9))
    bulk = CallProfile("history", 0.5, 0.5, CallPriority.BULK)
    assert selector.choose("s", (), PROFILE).name in "ab"
    assert selector.choose("s", (), bulk).name == "c"


def test_sent_bulk_calls_do_not_send_interactive_calls_away():
    """Bulk calls sent since the last report delay bulk calls only."""
    selector = selector_of(endpoint("a", "here"), endpoint("b", "there"))
    for _ in range(200):
        selector.started("a", "history", CallPriority.BULK)
    assert selector.choose("s", (), PROFILE).name == "a"


def test_bulk_call_leaves_early_for_an_idle_data_centre():
    selector = selector_of(*TWO_LOCAL_ONE_REMOTE)
    for name in "ab":
        selector.report_backlog(name, equal_backlog(0.6))
    bulk = CallProfile("history", 2.0, 2.0, CallPriority.BULK)
    assert selector.choose("s", (), bulk).name == "c"
    interactive = CallProfile("history", 2.0, 2.0)
    assert selector.choose("s", (), interactive).name in "ab"
    selector.report_backlog("c", equal_backlog(0.6))
    assert selector.choose("s", (), bulk).name in "ab"


def test_queueing_time_does_not_count_as_slowness():
    """Else the wait would count twice, as backlog and as slowness."""
    selector = selector_of(endpoint("a", "here"), endpoint("b", "here"))
    for _ in range(30):
        for name, waited in (("a", 0.5), ("b", 0.0)):
            selector.started(name, "lookup")
            selector.finished(
                name, CallResult.ANSWERED, waited + 0.1, "lookup", 0.1
            )
            selector.report_backlog(name, NO_BACKLOG)
    chosen = [selector.choose("s", (), PROFILE).name for _ in range(50)]
    assert 15 <= chosen.count("a") <= 35

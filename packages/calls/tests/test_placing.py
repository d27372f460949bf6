"""Placing of calls, and the load that it answers."""

from random import Random

import pytest

from rhubarbhollow_calls.backlog import NO_BACKLOG, Backlog
from rhubarbhollow_calls.call_kind import CallKind
from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.call_result import CallResult
from rhubarbhollow_calls.endpoint import Endpoint, EndpointState
from rhubarbhollow_calls.endpoint_table import EndpointTable
from rhubarbhollow_calls.upstream_book import UpstreamBook
from rhubarbhollow_wire.clock import ManualClock

KIND = CallKind("lookup", 0.5, 0.5)
LONG_AGO = -100.0


def both(seconds):
    return Backlog(seconds, seconds)


def endpoint(name, data_centre, joined_at=LONG_AGO, state=EndpointState.UP):
    return Endpoint(
        name, "s", data_centre, name, "h", 1, 9, state, 1, joined_at
    )


def book_of(*endpoints, seed=1):
    clock = ManualClock()
    book = UpstreamBook("here", clock, Random(seed))
    book.replace(EndpointTable(1, endpoints))
    book.clock = clock
    return book


TWO_HERE = (
    endpoint("a", "here"),
    endpoint("b", "here"),
    endpoint("c", "there"),
)


def test_a_call_stays_in_its_data_centre_while_it_can_be_in_time():
    book = book_of(*TWO_HERE)
    for name in "ab":
        book.report_backlog(name, both(0.2))
    for _ in range(50):
        assert book.choose("s", (), KIND).name in "ab"


def test_a_call_leaves_once_nobody_here_can_serve_it_in_time():
    book = book_of(*TWO_HERE)
    for name in "ab":
        book.report_backlog(name, both(0.9))
    assert book.choose("s", (), KIND).name == "c"
    book.clock.advance(0.8)
    assert book.choose("s", (), KIND).name in "ab"


def test_a_call_that_is_late_everywhere_stays():
    book = book_of(*TWO_HERE)
    for name in "abc":
        book.report_backlog(name, both(5.0))
    assert book.choose("s", (), KIND).name in "ab"


def test_the_shorter_queue_gets_the_call():
    book = book_of(*TWO_HERE)
    book.report_backlog("a", both(0.02))
    book.report_backlog("b", both(0.28))
    assert {book.choose("s", (), KIND).name for _ in range(30)} == {"a"}


def test_calls_sent_since_the_last_report_count():
    book = book_of(endpoint("a", "here"), endpoint("b", "here"))
    chosen = []
    for _ in range(40):
        name = book.choose("s", (), KIND).name
        book.started(name, "lookup")
        chosen.append(name)
    assert 15 <= chosen.count("a") <= 25


def test_a_slow_upstream_gets_fewer_calls():
    book = book_of(endpoint("a", "here"), endpoint("b", "here"))
    for _ in range(30):
        for name, seconds in (("a", 0.5), ("b", 0.1)):
            book.started(name, "lookup")
            book.finished(
                name, CallResult.ANSWERED, seconds, "lookup", seconds
            )
            book.report_backlog(name, both(0.0))
    chosen = [book.choose("s", (), KIND).name for _ in range(50)]
    assert chosen.count("b") == 50


def test_a_refusal_of_long_calls_does_not_keep_short_ones_away():
    book = book_of(*TWO_HERE)
    for name in "ab":
        book.started(name, "history")
        book.finished(name, CallResult.BUSY, 0.001, "history")
    assert book.choose("s", (), KIND).name in "ab"


def test_what_is_leaving_or_was_tried_is_not_chosen():
    book = book_of(
        endpoint("a", "here"),
        endpoint("b", "here", state=EndpointState.LEAVING),
        endpoint("c", "there"),
    )
    assert book.choose("s", ("a",), KIND).name == "c"
    assert book.choose("s", ("a", "c"), KIND) is None


@pytest.mark.parametrize("seed", range(5))
def test_an_upstream_that_fails_is_left_for_others(seed):
    book = book_of(*TWO_HERE, seed=seed)
    for _ in range(6):
        book.started("a", "lookup")
        book.finished("a", CallResult.UPSTREAM_ERROR, 0.05, "lookup")
    assert {book.choose("s", (), KIND).name for _ in range(20)} == {"b"}


def test_a_call_that_was_refused_here_does_not_go_where_it_is_as_busy():
    book = book_of(*TWO_HERE)
    book.report_backlog("c", both(0.9))
    book.clock.advance(0.4)
    assert book.choose("s", ("a", "b"), KIND) is None
    book.clock.advance(0.4)
    assert book.choose("s", ("a", "b"), KIND).name == "c"


def test_bulk_calls_that_wait_send_no_urgent_one_away():
    book = book_of(*TWO_HERE)
    for name in "ab":
        book.report_backlog(name, Backlog(0.02, 0.9))
    bulk = CallKind("history", 0.5, 0.5, CallPriority.BULK)
    assert book.choose("s", (), KIND).name in "ab"
    assert book.choose("s", (), bulk).name == "c"


def test_bulk_calls_sent_since_the_last_report_keep_no_urgent_one_away():
    book = book_of(endpoint("a", "here"), endpoint("b", "there"))
    for _ in range(200):
        book.started("a", "history", CallPriority.BULK)
    assert book.choose("s", (), KIND).name == "a"


def test_a_bulk_call_leaves_early_for_where_nobody_waits():
    book = book_of(*TWO_HERE)
    for name in "ab":
        book.report_backlog(name, both(0.6))
    left = CallKind("history", 2.0, 2.0, CallPriority.BULK)
    assert book.choose("s", (), left).name == "c"
    urgent = CallKind("history", 2.0, 2.0)
    assert book.choose("s", (), urgent).name in "ab"
    book.report_backlog("c", both(0.6))
    assert book.choose("s", (), left).name in "ab"


def test_waits_do_not_make_an_upstream_slow():
    book = book_of(endpoint("a", "here"), endpoint("b", "here"))
    for _ in range(30):
        for name, waited in (("a", 0.5), ("b", 0.0)):
            book.started(name, "lookup")
            book.finished(
                name, CallResult.ANSWERED, waited + 0.1, "lookup", 0.1
            )
            book.report_backlog(name, NO_BACKLOG)
    chosen = [book.choose("s", (), KIND).name for _ in range(50)]
    assert 15 <= chosen.count("a") <= 35

"""Validation of announcements and the records made from them."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from itertools import pairwise

import pytest
from endpoint_fakes import ANNOUNCEMENT, DOCUMENT, states

from rhubarbhollow_distribution.announcement import (
    Announcement,
    read_announcement,
)
from rhubarbhollow_distribution.endpoint_store import TOMBSTONE_SECONDS
from rhubarbhollow_distribution.upstream_registry import (
    LOAD_SECONDS,
    LOAD_STEP_PERCENT,
    MAX_UPSTREAMS,
    TooManyUpstreams,
    UnknownUpstream,
    UpstreamRegistry,
)
from rhubarbhollow_wire.clock import ManualClock


def test_announcement_is_read_with_defaults():
    assert (
        Announcement(
            name="desk-1",
            service="counter-desk",
            host="127.0.0.1",
            port=9000,
            slots=9,
            connections=120,
            lease=timedelta(seconds=3),
        )
        == ANNOUNCEMENT
    )
    full = {**DOCUMENT, "state": "leaving", "load": 0.25, "host": "::1"}
    read = read_announcement(full).unwrap()
    assert (read.is_leaving, read.load, read.host) == (True, 0.25, "::1")


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"port": 0}, {("port", "out_of_range")}),
        ({"port": "80"}, {("port", "wrong_type")}),
        ({"port": True}, {("port", "wrong_type")}),
        ({"state": "down"}, {("state", "bad_value")}),
        ({"name": "Desk 1"}, {("name", "bad_value")}),
        ({"name": "desk-1\n"}, {("name", "bad_value")}),
        ({"host": "desk.example"}, {("host", "bad_value")}),
        ({"host": 7}, {("host", "wrong_type")}),
        ({"load": 1.5}, {("load", "out_of_range")}),
        (
            {"zone": 1, "x": 2, "slots": 0, "lease_seconds": 9e9, "port": {}},
            {
                ("'zone'", "unknown"),
                ("'x'", "unknown"),
                ("slots", "out_of_range"),
                ("lease_seconds", "out_of_range"),
                ("port", "wrong_type"),
            },
        ),
    ],
)
def test_every_fault_is_reported_by_field(changes, expected):
    faults = read_announcement({**DOCUMENT, **changes}).unwrap_err().faults
    assert {(fault.field, str(fault.kind)) for fault in faults} == expected


@pytest.mark.parametrize("value", [None, [], "x", 7])
def test_announcement_that_is_not_an_object_is_refused(value):
    faults = read_announcement(value).unwrap_err().faults
    assert [(fault.field, fault.kind) for fault in faults] == [
        ("", "wrong_type")
    ]


def test_every_missing_field_is_reported():
    faults = read_announcement({}).unwrap_err().faults
    assert [fault.field for fault in faults] == sorted(DOCUMENT)


def book_of(clock):
    return UpstreamRegistry(
        node="node",
        data_centre="ilala",
        peer_host="127.0.0.1",
        peer_port=7101,
        incarnation=4,
        clock=clock,
    )


def test_repeated_announcement_only_renews_the_lease():
    clock = ManualClock()
    book = book_of(clock)
    first = book.announce(ANNOUNCEMENT).unwrap()
    assert (first.order, first.peer_port) == ((4, 1), 7101)
    for _ in range(5):
        clock.advance(2)
        assert book.announce(ANNOUNCEMENT).unwrap() == first
        assert book.expire() == ()
    assert book.take_changes() == (first,)
    assert book.take_changes() == ()
    clock.advance(3)
    (tombstone,) = book.expire()
    assert (tombstone.order, tombstone.is_gone) == ((4, 2), True)
    assert book.take_changes() == book.records == (tombstone,)
    assert book.announcements == ()
    clock.advance(TOMBSTONE_SECONDS)
    book.expire()
    assert book.records == ()


def test_changes_raise_the_sequence_over_all_endpoints():
    book = book_of(ManualClock())
    book.announce(ANNOUNCEMENT).unwrap()
    book.announce(replace(ANNOUNCEMENT, name="desk-2")).unwrap()
    book.announce(replace(ANNOUNCEMENT, slots=3)).unwrap()
    leaving = book.announce(replace(ANNOUNCEMENT, is_leaving=True)).unwrap()
    assert leaving.sequence == 4
    assert states(book.records) == {"desk-1": "leaving", "desk-2": "up"}
    book.leave_all()
    book.leave_all()
    assert [each.sequence for each in book.records] == [4, 5]
    assert book.withdraw("desk-1").unwrap().sequence == 6
    assert book.withdraw("desk-1").unwrap_err() == UnknownUpstream("desk-1")
    assert states(book.take_changes()) == {
        "desk-1": "gone",
        "desk-2": "leaving",
    }
    again = book.announce(ANNOUNCEMENT).unwrap()
    assert (again.sequence, len(book.records)) == (7, 2)


def test_load_is_published_only_for_large_changes_at_a_limited_rate():
    clock = ManualClock()
    book = book_of(clock)
    sent = []
    for second in range(60):
        share = (0.1, 0.25, 0.9)[second % 3]
        book.announce(replace(ANNOUNCEMENT, load=share)).unwrap()
        sent += [each.load_percent for each in book.take_changes()]
        clock.advance(1)
    assert len(sent) <= 1 + 60 / LOAD_SECONDS
    steps = [abs(a - b) for a, b in pairwise(sent)]
    assert len(steps) > 5
    assert min(steps) >= LOAD_STEP_PERCENT


def test_number_of_upstreams_is_bounded():
    """A known upstream must still be able to renew its lease."""
    book = book_of(ManualClock())
    names = [f"desk-{number}" for number in range(MAX_UPSTREAMS + 1)]
    outcomes = [
        book.announce(replace(ANNOUNCEMENT, name=name)) for name in names
    ]
    assert outcomes[-1].unwrap_err() == TooManyUpstreams(MAX_UPSTREAMS)
    assert book.announce(replace(ANNOUNCEMENT, name="desk-0")).is_ok()


def test_records_are_reissued_under_a_raised_incarnation():
    book = UpstreamRegistry(
        node="n1",
        data_centre="ilala",
        peer_host="127.0.0.1",
        peer_port=1,
        incarnation=500,
        clock=ManualClock(),
    )
    lease = timedelta(seconds=6)
    book.announce(Announcement("u", "desk", "127.0.0.1", 2, 9, 18, lease))
    first = book.take_changes()[0]
    book.raise_incarnation(2_001)
    (second,) = book.take_changes()
    assert second.incarnation == 2_001
    assert second.order > first.order
    assert book.records == (second,)

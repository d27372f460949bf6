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
    scoped = read_announcement({**DOCUMENT, "host": "fe80::1%eth0.1"})
    assert scoped.unwrap().host == "fe80::1%eth0.1"


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
        ({"host": "::1%\r\n"}, {("host", "bad_value")}),
        ({"host": "::1%\0"}, {("host", "bad_value")}),
        ({"host": "::1%" + "x" * 16}, {("host", "bad_value")}),
        ({"port": 65_536}, {("port", "out_of_range")}),
        ({"slots": 10**400}, {("slots", "out_of_range")}),
        ({"lease_seconds": 10**400}, {("lease_seconds", "out_of_range")}),
        ({"lease_seconds": float("inf")}, {("lease_seconds", "out_of_range")}),
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


def registry_of(clock):
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
    registry = registry_of(clock)
    first = registry.announce(ANNOUNCEMENT).unwrap()
    assert (first.order, first.peer_port) == ((4, 1), 7101)
    for _ in range(5):
        clock.advance(2)
        assert registry.announce(ANNOUNCEMENT).unwrap() == first
        assert registry.expire() == ()
    assert registry.take_changes() == (first,)
    assert registry.take_changes() == ()
    clock.advance(3)
    (tombstone,) = registry.expire()
    assert (tombstone.order, tombstone.is_gone) == ((4, 2), True)
    assert registry.take_changes() == registry.records == (tombstone,)
    assert registry.announcements == ()
    clock.advance(TOMBSTONE_SECONDS)
    registry.expire()
    assert registry.records == ()


def test_changes_raise_the_sequence_over_all_endpoints():
    registry = registry_of(ManualClock())
    registry.announce(ANNOUNCEMENT).unwrap()
    registry.announce(replace(ANNOUNCEMENT, name="desk-2")).unwrap()
    registry.announce(replace(ANNOUNCEMENT, slots=3)).unwrap()
    leaving = registry.announce(
        replace(ANNOUNCEMENT, is_leaving=True)
    ).unwrap()
    assert leaving.sequence == 4
    assert states(registry.records) == {"desk-1": "leaving", "desk-2": "up"}
    registry.leave_all()
    registry.leave_all()
    assert [each.sequence for each in registry.records] == [4, 5]
    withdrawn = registry.withdraw("desk-1").unwrap()
    assert (withdrawn.sequence, withdrawn.is_gone) == (6, True)
    assert registry.withdraw("desk-1").unwrap_err() == UnknownUpstream(
        "desk-1"
    )
    assert states(registry.take_changes()) == {
        "desk-1": "gone",
        "desk-2": "leaving",
    }
    again = registry.announce(ANNOUNCEMENT).unwrap()
    assert (again.sequence, len(registry.records)) == (7, 2)


def test_load_is_published_only_for_large_changes_at_a_limited_rate():
    clock = ManualClock()
    registry = registry_of(clock)
    sent = []
    for second in range(60):
        share = (0.1, 0.25, 0.9)[second % 3]
        registry.announce(replace(ANNOUNCEMENT, load=share)).unwrap()
        sent += [each.load_percent for each in registry.take_changes()]
        clock.advance(1)
    assert len(sent) <= 1 + 60 / LOAD_SECONDS
    steps = [abs(a - b) for a, b in pairwise(sent)]
    assert len(steps) > 5
    assert min(steps) >= LOAD_STEP_PERCENT


def test_number_of_upstreams_is_bounded():
    """A known upstream must still be able to renew its lease."""
    registry = registry_of(ManualClock())
    names = [f"desk-{number}" for number in range(MAX_UPSTREAMS + 1)]
    outcomes = [
        registry.announce(replace(ANNOUNCEMENT, name=name)) for name in names
    ]
    assert outcomes[-1].unwrap_err() == TooManyUpstreams(MAX_UPSTREAMS)
    assert registry.announce(replace(ANNOUNCEMENT, name="desk-0")).is_ok()


def test_records_are_reissued_under_a_raised_incarnation():
    registry = UpstreamRegistry(
        node="n1",
        data_centre="ilala",
        peer_host="127.0.0.1",
        peer_port=1,
        incarnation=500,
        clock=ManualClock(),
    )
    lease = timedelta(seconds=6)
    registry.announce(Announcement("u", "desk", "127.0.0.1", 2, 9, 18, lease))
    first = registry.take_changes()[0]
    registry.raise_incarnation(2_001)
    (second,) = registry.take_changes()
    assert second.incarnation == 2_001
    assert second.order > first.order
    assert registry.records == (second,)

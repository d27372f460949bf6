"""Decoding and ordering of an upstream's heartbeats."""

import json

import pytest
from result import Err

from rhubarbhollow_platform.heartbeat import (
    Heartbeat,
    read_heartbeat,
    to_announcement,
)
from rhubarbhollow_platform.heartbeat_fault import HeartbeatFaultKind
from rhubarbhollow_platform.heartbeat_order import (
    HeartbeatOrder,
    HeartbeatTracker,
)

GOOD = {
    "Service": "desk",
    "Address": "10.1.0.4:8145",
    "Zone": "ilala",
    "Version": "v1",
    "Slots": 9,
    "State": "ready",
    "ColdRemainingS": 0.5,
    "Sequence": 4,
    "born": 1_700_000_000_000,
}


def read(**changes):
    value = {**GOOD, **changes}
    value = {key: one for key, one in value.items() if one != "absent"}
    body = json.dumps(value).encode()
    return read_heartbeat("i-1", body, "desk", "10.1.0.4")


def test_a_heartbeat_becomes_an_announcement():
    heartbeat = read(State="draining").ok_value
    announcement = to_announcement("i-1", heartbeat, 1.5)
    assert announcement.name == "i-1"
    assert (announcement.host, announcement.port) == ("10.1.0.4", 8145)
    assert announcement.slots == 9
    assert announcement.is_leaving
    assert announcement.lease.total_seconds() == 6.0
    assert announcement.started_at_ms == 1_700_000_000_000


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"Slots": "9"}, HeartbeatFaultKind.MALFORMED),
        ({"Slots": 0}, HeartbeatFaultKind.MALFORMED),
        ({"Slots": "absent"}, HeartbeatFaultKind.MALFORMED),
        ({"State": "resting"}, HeartbeatFaultKind.MALFORMED),
        ({"Sequence": 1.5}, HeartbeatFaultKind.MALFORMED),
        ({"Sequence": True}, HeartbeatFaultKind.MALFORMED),
        ({"Address": "nowhere"}, HeartbeatFaultKind.MALFORMED),
        ({"born": "yesterday"}, HeartbeatFaultKind.MALFORMED),
        ({"born": -1}, HeartbeatFaultKind.MALFORMED),
        ({"born": 1 << 62}, HeartbeatFaultKind.MALFORMED),
        ({"born": 10**400}, HeartbeatFaultKind.MALFORMED),
        ({"Sequence": 10**30}, HeartbeatFaultKind.MALFORMED),
        ({"Slots": 10**30}, HeartbeatFaultKind.MALFORMED),
        ({"Address": "10.1.0.4:0"}, HeartbeatFaultKind.MALFORMED),
        ({"Address": "10.1.0.4:65536"}, HeartbeatFaultKind.MALFORMED),
        ({"Address": "10.1.0.4:-1"}, HeartbeatFaultKind.MALFORMED),
        ({"Address": "10.1.0.4:8_0"}, HeartbeatFaultKind.MALFORMED),
        ({"Address": "10.1.0.4:+80"}, HeartbeatFaultKind.MALFORMED),
        ({"Address": f"10.1.0.4:{10**400}"}, HeartbeatFaultKind.MALFORMED),
        ({"Service": "other"}, HeartbeatFaultKind.OTHER_SERVICE),
        ({"Address": "10.9.9.9:8145"}, HeartbeatFaultKind.OTHER_ADDRESS),
    ],
)
def test_a_foreign_or_malformed_heartbeat_is_rejected(changes, kind):
    """A heartbeat from another writer must not list an upstream."""
    fault = read(**changes)
    assert isinstance(fault, Err)
    assert fault.err_value.kind is kind


@pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"[]", b"[" * 100_000])
def test_a_body_that_is_no_heartbeat_is_rejected(body):
    """Neither invalid UTF-8 nor deep nesting may raise."""
    assert isinstance(read_heartbeat("i-1", body, "desk", "10.1.0.4"), Err)


@pytest.mark.parametrize(
    ("name", "is_accepted"),
    [
        ("i-7f3a91c2", True),
        ("i" * 255, True),
        ("i" * 256, False),
        ("", False),
        ("i\r\nExpected-Instance: j", False),
        ("i\n", False),
        ("i 1", False),
        ("i\0", False),
        ("\ufffd", False),
    ],
)
def test_a_name_that_cannot_be_a_field_is_rejected(name, is_accepted):
    body = json.dumps(GOOD).encode()
    result = read_heartbeat(name, body, "desk", "10.1.0.4")
    assert result.is_ok() is is_accepted


@pytest.mark.parametrize(
    "changes",
    [
        {"Address": "10.1.0.4:1"},
        {"Address": "10.1.0.4:65535"},
        {"Sequence": (1 << 53) - 1},
        {"born": 253_402_300_799_999},
        {"born": 0},
        {"Slots": 10_000},
    ],
)
def test_the_largest_and_smallest_numbers_are_accepted(changes):
    assert read(**changes).is_ok()


def heartbeat(started_at_ms, sequence):
    return Heartbeat(
        service="desk",
        address="10.1.0.4:1",
        data_centre="ilala",
        slots=9,
        state="ready",
        sequence=sequence,
        started_at_ms=started_at_ms,
    )


@pytest.mark.parametrize(
    ("calls", "order"),
    [
        ([("a", 5, 1), ("a", 5, 2)], HeartbeatOrder.NEW),
        ([("a", 5, 2), ("a", 5, 1)], HeartbeatOrder.LATE),
        ([("a", 5, 2), ("a", 5, 2)], HeartbeatOrder.LATE),
        ([("a", 5, 9), ("a", 6, 1)], HeartbeatOrder.NEW),
        ([("a", 6, 1), ("a", 5, 9)], HeartbeatOrder.LATE),
        ([("a", 5, 9), ("b", 6, 1)], HeartbeatOrder.NEW),
        ([("b", 6, 1), ("a", 5, 9)], HeartbeatOrder.LATE),
        ([("a", 5, 9), ("a", None, 0), ("a", 5, 10)], HeartbeatOrder.NEW),
        ([("a", 5, 1), ("withdraw", 0, 0), ("a", 5, 2)], HeartbeatOrder.LATE),
        ([("a", 5, 1), ("withdraw", 0, 0), ("a", 6, 1)], HeartbeatOrder.NEW),
        ([("a", None, 1), ("a", None, 2)], HeartbeatOrder.NEW),
        ([("a", None, 2), ("a", None, 1)], HeartbeatOrder.LATE),
    ],
)
def test_late_heartbeats_are_detected(calls, order):
    """A late heartbeat must not list a replaced or withdrawn process.

    Retries and reordering deliver heartbeats late: after a newer one,
    after those of the next process, or after the withdrawal.
    """
    tracker = HeartbeatTracker()
    last = None
    for name, started_at_ms, sequence in calls:
        if name == "withdraw":
            tracker.mark_withdrawn("a")
            continue
        last = tracker.observe(name, heartbeat(started_at_ms, sequence))
    assert last is order

"""Decoding and ordering of an upstream's heartbeats."""

import json
from dataclasses import replace
from datetime import UTC, datetime, timedelta

import pytest
from result import Err

from rhubarbhollow_distribution.departure import Departure
from rhubarbhollow_platform.heartbeat import (
    Heartbeat,
    read_heartbeat,
    to_announcement,
)
from rhubarbhollow_platform.heartbeat_fault import HeartbeatFaultKind
from rhubarbhollow_platform.heartbeat_order import (
    WITHDRAWAL_MEMORY,
    HeartbeatOrder,
    HeartbeatTracker,
)
from rhubarbhollow_wire.clock import ManualClock

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
    assert announcement.version == "v1"


def test_a_heartbeat_may_state_no_version():
    for version in ("absent", None):
        heartbeat = read(Version=version).ok_value
        assert to_announcement("i-1", heartbeat, 1.5).version == ""


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"Slots": "9"}, HeartbeatFaultKind.MALFORMED),
        ({"Version": 5}, HeartbeatFaultKind.MALFORMED),
        ({"Version": "a" * 256}, HeartbeatFaultKind.MALFORMED),
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
    tracker = HeartbeatTracker(ManualClock())
    last = None
    for name, started_at_ms, sequence in calls:
        if name == "withdraw":
            tracker.mark_withdrawn("a")
            continue
        last = tracker.observe(name, heartbeat(started_at_ms, sequence))
    assert last is order


class StepClock(ManualClock):
    """A clock whose time of day may jump."""

    def __init__(self):
        super().__init__(datetime(2026, 1, 1, tzinfo=UTC))
        self.step = timedelta()

    def utc(self):
        return super().utc() + self.step

    def now_ms(self):
        return round(self.utc().timestamp() * 1000)


@pytest.mark.parametrize("step_seconds", [-5, 0, 5])
def test_a_withdrawal_after_a_restart_is_not_undone_by_a_late_heartbeat(
    step_seconds,
):
    """Guard against calls to an upstream that a restarted node forgot.

    The node has not seen the upstream since its start, acknowledges its
    withdrawal, and then gets a heartbeat that was sent before.
    """
    clock = StepClock()
    started_at_ms = clock.now_ms()
    clock.advance(20)
    tracker = HeartbeatTracker(clock)
    tracker.mark_withdrawn("a")
    clock.step = timedelta(seconds=step_seconds)
    for sequence in range(5):
        clock.advance(1)
        late = heartbeat(started_at_ms, sequence)
        assert tracker.observe("a", late) is HeartbeatOrder.LATE
        assert tracker.observe("a", heartbeat(None, sequence)) is (
            HeartbeatOrder.LATE
        )


@pytest.mark.parametrize("is_listed", [False, True])
def test_a_withdrawal_at_an_earlier_process_of_the_node_is_recalled(is_listed):
    """Guard against calls to an upstream that withdrew before a crash.

    A heartbeat of before may arrive before the node hears of it.
    """
    clock = StepClock()
    old = clock.now_ms()
    clock.advance(20)
    tracker = HeartbeatTracker(clock)
    if is_listed:
        assert tracker.observe("a", heartbeat(old, 1)) is HeartbeatOrder.NEW
    noted_at_ms = clock.now_ms() - 2_000
    unseen = Departure("a", 0, 0, is_withdrawn=True, noted_at_ms=noted_at_ms)
    assert tracker.recall([unseen]) == ("a" if is_listed else None)
    assert tracker.observe("a", heartbeat(old, 2)) is HeartbeatOrder.LATE
    assert tracker.observe("a", heartbeat(None, 2)) is HeartbeatOrder.LATE
    started = heartbeat(clock.now_ms() - 1_000, 1)
    assert tracker.observe("a", started) is HeartbeatOrder.NEW
    assert tracker.recall([unseen, replace(unseen, name="b")]) is None
    repeated = heartbeat(clock.now_ms() - 1_000, 2)
    assert tracker.observe("a", repeated) is HeartbeatOrder.NEW


@pytest.mark.parametrize("is_withdrawn", [False, True])
def test_a_departure_is_that_of_one_process(is_withdrawn):
    """Guard against a new process taken for one that left.

    Its clock may be behind that of the process before it.
    """
    tracker = HeartbeatTracker(ManualClock())
    departure = Departure("a", 50, 7, is_withdrawn, noted_at_ms=60)
    assert tracker.recall([departure]) is None
    for sequence, is_late in ((6, True), (7, True), (8, is_withdrawn)):
        other = HeartbeatTracker(ManualClock())
        other.recall([departure])
        order = HeartbeatOrder.LATE if is_late else HeartbeatOrder.NEW
        assert other.observe("a", heartbeat(50, sequence)) is order
    assert tracker.observe("a", heartbeat(49, 1)) is HeartbeatOrder.NEW
    assert tracker.observe("b", heartbeat(50, 1)) is HeartbeatOrder.NEW


@pytest.mark.parametrize("step_seconds", [-5, 0, 5])
def test_a_process_that_starts_after_the_withdrawal_is_listed(step_seconds):
    clock = StepClock()
    tracker = HeartbeatTracker(clock)
    tracker.mark_withdrawn("a")
    clock.step = timedelta(seconds=step_seconds)
    clock.advance(0.1)
    started = heartbeat(clock.now_ms(), 1)
    assert tracker.observe("a", started) is HeartbeatOrder.NEW
    other = heartbeat(clock.now_ms() - 60_000, 1)
    other_tracker = HeartbeatTracker(clock)
    other_tracker.mark_withdrawn("b")
    assert other_tracker.observe("a", other) is HeartbeatOrder.NEW


def test_a_process_that_seems_older_is_listed_after_a_while():
    """Guard against an upstream kept away by a wrong time of day."""
    clock = StepClock()
    started_at_ms = clock.now_ms()
    clock.advance(1)
    tracker = HeartbeatTracker(clock)
    tracker.mark_withdrawn("a")
    clock.advance(WITHDRAWAL_MEMORY.total_seconds() + 1)
    assert tracker.observe("a", heartbeat(started_at_ms, 9)) is (
        HeartbeatOrder.NEW
    )


def test_withdrawals_of_many_unseen_names_are_bounded():
    tracker = HeartbeatTracker(ManualClock())
    for number in range(1000):
        tracker.mark_withdrawn(f"i-{number}")
    assert len(tracker._withdrawn_at) <= 16

import json

import pytest
from result import Err

from rhubarbhollow_platform.beat import Beat, read_beat, to_announcement
from rhubarbhollow_platform.beat_fault import BeatFaultKind
from rhubarbhollow_platform.beat_order import BeatLedger, BeatOrder

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
    return read_beat(json.dumps(value).encode(), "desk", "10.1.0.4")


def test_a_beat_becomes_an_announcement():
    beat = read(State="draining").ok_value
    announcement = to_announcement("i-1", beat, 1.5)
    assert announcement.name == "i-1"
    assert (announcement.host, announcement.port) == ("10.1.0.4", 8145)
    assert announcement.slots == 9
    assert announcement.is_leaving
    assert announcement.lease.total_seconds() == 6.0
    assert announcement.started_at_ms == 1_700_000_000_000


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"Slots": "9"}, BeatFaultKind.MALFORMED),
        ({"Slots": 0}, BeatFaultKind.MALFORMED),
        ({"Slots": "absent"}, BeatFaultKind.MALFORMED),
        ({"State": "resting"}, BeatFaultKind.MALFORMED),
        ({"Sequence": 1.5}, BeatFaultKind.MALFORMED),
        ({"Sequence": True}, BeatFaultKind.MALFORMED),
        ({"Address": "nowhere"}, BeatFaultKind.MALFORMED),
        ({"born": "yesterday"}, BeatFaultKind.MALFORMED),
        ({"Service": "other"}, BeatFaultKind.OTHER_SERVICE),
        ({"Address": "10.9.9.9:8145"}, BeatFaultKind.OTHER_ADDRESS),
    ],
)
def test_what_another_writer_sent_names_no_upstream(changes, kind):
    fault = read(**changes)
    assert isinstance(fault, Err)
    assert fault.err_value.kind is kind


@pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"[]", b"[" * 100_000])
def test_bytes_that_are_no_beat_are_refused(body):
    assert isinstance(read_beat(body, "desk", "10.1.0.4"), Err)


def beat(started_at_ms, sequence):
    return Beat(
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
        ([("a", 5, 1), ("a", 5, 2)], BeatOrder.NEWS),
        ([("a", 5, 2), ("a", 5, 1)], BeatOrder.LATE),
        ([("a", 5, 2), ("a", 5, 2)], BeatOrder.LATE),
        ([("a", 5, 9), ("a", 6, 1)], BeatOrder.NEWS),
        ([("a", 6, 1), ("a", 5, 9)], BeatOrder.LATE),
        ([("a", 5, 9), ("b", 6, 1)], BeatOrder.NEWS),
        ([("b", 6, 1), ("a", 5, 9)], BeatOrder.LATE),
        ([("a", 5, 9), ("a", None, 0), ("a", 5, 10)], BeatOrder.NEWS),
        ([("a", 5, 1), ("leave", 0, 0), ("a", 5, 2)], BeatOrder.LATE),
        ([("a", 5, 1), ("leave", 0, 0), ("a", 6, 1)], BeatOrder.NEWS),
        ([("a", None, 1), ("a", None, 2)], BeatOrder.NEWS),
        ([("a", None, 2), ("a", None, 1)], BeatOrder.LATE),
    ],
)
def test_late_beats_are_told_from_new_ones(calls, order):
    ledger = BeatLedger()
    last = None
    for name, started_at_ms, sequence in calls:
        if name == "leave":
            ledger.leave("a")
            continue
        last = ledger.take(name, beat(started_at_ms, sequence))
    assert last is order

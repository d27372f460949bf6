"""Builders of endpoint records and announcements for tests."""

from __future__ import annotations

from dataclasses import replace

from rhubarbhollow_distribution.announcement import read_announcement
from rhubarbhollow_distribution.endpoint_record import (
    EndpointRecord,
    EndpointState,
)

DOCUMENT = {
    "name": "desk-1",
    "service": "counter-desk",
    "host": "127.0.0.1",
    "port": 9000,
    "slots": 9,
    "connections": 120,
    "lease_seconds": 3,
}
ANNOUNCEMENT = read_announcement(DOCUMENT).unwrap()


def record(name="a", *, node="node", incarnation=1, sequence=1):
    return EndpointRecord(
        name=name,
        service="counter-desk",
        node=node,
        data_centre="ilala",
        peer_host="127.0.0.1",
        peer_port=7101,
        slots=9,
        state=int(EndpointState.UP),
        load_percent=-1,
        incarnation=incarnation,
        sequence=sequence,
    )


def gone(each):
    """Return a tombstone of equal order, as an expired lease does."""
    return each.to_tombstone()


def load(each, percent):
    return replace(each, load_percent=percent)


def states(records):
    return {
        each.name: EndpointState(each.state).name.lower() for each in records
    }

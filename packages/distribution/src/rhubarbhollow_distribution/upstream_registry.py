"""The registry of the upstreams local to one node."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from rhubarbhollow_distribution.endpoint_record import (
    EndpointRecord,
    EndpointState,
)
from rhubarbhollow_distribution.endpoint_store import (
    TOMBSTONE_SECONDS,
    is_load_only,
)

if TYPE_CHECKING:
    from rhubarbhollow_distribution.announcement import Announcement
    from rhubarbhollow_wire.clock import Clock

MAX_UPSTREAMS: Final = 64
# A change of load alone is published only if it is at least this large
# and the last record at least this old.
LOAD_STEP_PERCENT: Final = 20
LOAD_SECONDS: Final = 5.0
# The value on the wire for an upstream that reports no load.
NO_LOAD_PERCENT: Final = -1


@dataclass(frozen=True, slots=True)
class TooManyUpstreams:
    """Error: the node already has the maximum number of upstreams."""

    limit: int


@dataclass(frozen=True, slots=True)
class UnknownUpstream:
    """Error: no upstream of that name is registered on this node."""

    name: str


@dataclass(frozen=True, slots=True)
class _Registration:
    announcement: Announcement
    record: EndpointRecord
    issued_at: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class _Tombstone:
    record: EndpointRecord
    removed_at: float


class UpstreamRegistry:
    """Turn announcements into endpoint records of increasing order.

    The node is the only source of these records.  One ``sequence``
    counter covers all its endpoints and keeps increasing after an
    endpoint is removed; ``incarnation`` increases with each start of
    the process.

    A load value is outdated by the time it arrives, so a change of load
    alone is published only if it is large, and at a limited rate.
    Tombstones are kept for ``TOMBSTONE_SECONDS``, so that a withdrawal
    that was lost with a connection is sent again after the next hello.
    """

    def __init__(
        self,
        *,
        node: str,
        data_centre: str,
        peer_host: str,
        peer_port: int,
        incarnation: int,
        clock: Clock,
    ) -> None:
        self._node = node
        self._data_centre = data_centre
        self._peer_host = peer_host
        self._peer_port = peer_port
        self._incarnation = incarnation
        self._clock = clock
        self._sequence = 0
        self._registered: dict[str, _Registration] = {}
        self._tombstones: dict[str, _Tombstone] = {}
        self._changed: dict[str, EndpointRecord] = {}

    @property
    def records(self) -> tuple[EndpointRecord, ...]:
        """Return all records to report after a hello.

        Recent tombstones are included.
        """
        live = (entry.record for entry in self._registered.values())
        return (*live, *(entry.record for entry in self._tombstones.values()))

    @property
    def announcements(self) -> tuple[Announcement, ...]:
        """Return the last announcement of each registered upstream."""
        return tuple(entry.announcement for entry in self._registered.values())

    def announce(
        self,
        announcement: Announcement,
    ) -> Result[EndpointRecord, TooManyUpstreams]:
        """Register an upstream or renew its lease.

        Return its current record.
        """
        known = self._registered.get(announcement.name)
        if known is None and len(self._registered) >= MAX_UPSTREAMS:
            return Err(TooManyUpstreams(MAX_UPSTREAMS))
        now = self._clock.monotonic()
        record = self._build(announcement)
        if known is not None and self._can_reuse(known, record):
            record, issued_at = known.record, known.issued_at
        else:
            record, issued_at = self._issue(record), now
        self._registered[announcement.name] = _Registration(
            announcement=announcement,
            record=record,
            issued_at=issued_at,
            expires_at=now + announcement.lease.total_seconds(),
        )
        return Ok(record)

    def withdraw(self, name: str) -> Result[EndpointRecord, UnknownUpstream]:
        """Remove an upstream immediately; return its tombstone."""
        if name not in self._registered:
            return Err(UnknownUpstream(name))
        return Ok(self._remove(name))

    def leave_all(self) -> tuple[EndpointRecord, ...]:
        """Mark every endpoint as leaving before the node stops."""
        return tuple(
            self._mark_leaving(name) for name in tuple(self._registered)
        )

    def expire(self) -> tuple[EndpointRecord, ...]:
        """Remove every upstream whose lease expired."""
        now = self._clock.monotonic()
        self._purge_tombstones(now - TOMBSTONE_SECONDS)
        ended = tuple(
            name
            for name, entry in self._registered.items()
            if entry.expires_at <= now
        )
        return tuple(self._remove(name) for name in ended)

    def raise_incarnation(self, incarnation: int) -> None:
        """Reissue every record under a higher incarnation."""
        self._incarnation = max(self._incarnation, incarnation)
        for name, entry in tuple(self._registered.items()):
            renewed = replace(entry.record, incarnation=self._incarnation)
            record = self._issue(renewed)
            self._registered[name] = replace(entry, record=record)

    def take_changes(self) -> tuple[EndpointRecord, ...]:
        """Return the endpoints' records changed since the last call."""
        changed = tuple(self._changed.values())
        self._changed.clear()
        return changed

    def _remove(self, name: str) -> EndpointRecord:
        entry = self._registered.pop(name)
        record = self._issue(entry.record.to_tombstone())
        self._tombstones[name] = _Tombstone(record, self._clock.monotonic())
        return record

    def _purge_tombstones(self, oldest: float) -> None:
        self._tombstones = {
            name: tombstone
            for name, tombstone in self._tombstones.items()
            if tombstone.removed_at > oldest
        }

    def _can_reuse(self, known: _Registration, fresh: EndpointRecord) -> bool:
        before = known.record
        if not is_load_only(before, fresh):
            return False
        step = abs(fresh.load_percent - before.load_percent)
        age_seconds = self._clock.monotonic() - known.issued_at
        return step < LOAD_STEP_PERCENT or age_seconds < LOAD_SECONDS

    def _mark_leaving(self, name: str) -> EndpointRecord:
        entry = self._registered[name]
        if entry.record.state == EndpointState.LEAVING:
            return entry.record
        record = self._issue(
            replace(entry.record, state=int(EndpointState.LEAVING))
        )
        self._registered[name] = replace(entry, record=record)
        return record

    def _build(self, announcement: Announcement) -> EndpointRecord:
        state = (
            EndpointState.LEAVING
            if announcement.is_leaving
            else EndpointState.UP
        )
        return EndpointRecord(
            name=announcement.name,
            service=announcement.service,
            node=self._node,
            data_centre=self._data_centre,
            peer_host=self._peer_host,
            peer_port=self._peer_port,
            slots=announcement.slots,
            state=int(state),
            load_percent=_to_percent(announcement.load),
            incarnation=self._incarnation,
            sequence=0,
            version=announcement.version,
        )

    def _issue(self, record: EndpointRecord) -> EndpointRecord:
        self._sequence += 1
        issued = replace(record, sequence=self._sequence)
        self._tombstones.pop(issued.name, None)
        self._changed[issued.name] = issued
        return issued


def _to_percent(load: float | None) -> int:
    if load is None:
        return NO_LOAD_PERCENT
    return round(load * 100)

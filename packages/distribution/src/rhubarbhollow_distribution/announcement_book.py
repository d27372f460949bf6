"""The upstreams beside one node."""

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
LOAD_STEP_PERCENT: Final = 20
LOAD_SECONDS: Final = 5.0
NO_LOAD_PERCENT: Final = -1


@dataclass(frozen=True, slots=True)
class TooManyUpstreams:
    """The node has as many upstreams as it may have."""

    limit: int


@dataclass(frozen=True, slots=True)
class UnknownUpstream:
    """No upstream of that name has announced itself here."""

    name: str


@dataclass(frozen=True, slots=True)
class _Listed:
    announcement: Announcement
    record: EndpointRecord
    issued_at: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class _Grave:
    record: EndpointRecord
    gone_at: float


class AnnouncementBook:
    """Turn announcements into endpoint records with rising order.

    The node is the one authority on these records.  ``sequence`` rises
    over all its endpoints, also after one of them has gone, and
    ``incarnation`` rises with each start of the process.

    A change of load alone is a late hint: it is passed on only when it
    is large, and seldom.  Tombstones stay among the records for a
    while, so that a withdrawal which was lost with a connection is told
    again after the next hello.
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
        self._listed: dict[str, _Listed] = {}
        self._graves: dict[str, _Grave] = {}
        self._changed: dict[str, EndpointRecord] = {}

    @property
    def records(self) -> tuple[EndpointRecord, ...]:
        """Return all records, with recent tombstones, for a hello."""
        live = (listed.record for listed in self._listed.values())
        return (*live, *(grave.record for grave in self._graves.values()))

    @property
    def announcements(self) -> tuple[Announcement, ...]:
        """Return the last announcement of each listed upstream."""
        return tuple(listed.announcement for listed in self._listed.values())

    def announce(
        self,
        announcement: Announcement,
    ) -> Result[EndpointRecord, TooManyUpstreams]:
        """List an upstream or renew its lease; return its record."""
        known = self._listed.get(announcement.name)
        if known is None and len(self._listed) >= MAX_UPSTREAMS:
            return Err(TooManyUpstreams(MAX_UPSTREAMS))
        now = self._clock.monotonic()
        record = self._build(announcement)
        if known is not None and self._may_keep(known, record):
            record, issued_at = known.record, known.issued_at
        else:
            record, issued_at = self._issue(record), now
        self._listed[announcement.name] = _Listed(
            announcement=announcement,
            record=record,
            issued_at=issued_at,
            expires_at=now + announcement.lease.total_seconds(),
        )
        return Ok(record)

    def withdraw(self, name: str) -> Result[EndpointRecord, UnknownUpstream]:
        """Take an upstream off the list at once."""
        if name not in self._listed:
            return Err(UnknownUpstream(name))
        return Ok(self._remove(name))

    def leave_all(self) -> tuple[EndpointRecord, ...]:
        """Mark every endpoint as leaving, before the node stops."""
        return tuple(self._mark_leaving(name) for name in tuple(self._listed))

    def expire(self) -> tuple[EndpointRecord, ...]:
        """Take off the list every upstream whose lease has ended."""
        now = self._clock.monotonic()
        self._forget_graves(now - TOMBSTONE_SECONDS)
        ended = tuple(
            name
            for name, listed in self._listed.items()
            if listed.expires_at <= now
        )
        return tuple(self._remove(name) for name in ended)

    def raise_incarnation(self, incarnation: int) -> None:
        """Issue every record again, under a higher incarnation."""
        self._incarnation = max(self._incarnation, incarnation)
        for name, listed in tuple(self._listed.items()):
            renewed = replace(listed.record, incarnation=self._incarnation)
            record = self._issue(renewed)
            self._listed[name] = replace(listed, record=record)

    def take_changes(self) -> tuple[EndpointRecord, ...]:
        """Return the latest records issued since the last call."""
        changed = tuple(self._changed.values())
        self._changed.clear()
        return changed

    def _remove(self, name: str) -> EndpointRecord:
        listed = self._listed.pop(name)
        record = self._issue(listed.record.bury())
        self._graves[name] = _Grave(record, self._clock.monotonic())
        return record

    def _forget_graves(self, oldest: float) -> None:
        self._graves = {
            name: grave
            for name, grave in self._graves.items()
            if grave.gone_at > oldest
        }

    def _may_keep(self, known: _Listed, fresh: EndpointRecord) -> bool:
        before = known.record
        if not is_load_only(before, fresh):
            return False
        step = abs(fresh.load_percent - before.load_percent)
        age_seconds = self._clock.monotonic() - known.issued_at
        return step < LOAD_STEP_PERCENT or age_seconds < LOAD_SECONDS

    def _mark_leaving(self, name: str) -> EndpointRecord:
        listed = self._listed[name]
        if listed.record.state == EndpointState.LEAVING:
            return listed.record
        record = self._issue(
            replace(listed.record, state=int(EndpointState.LEAVING))
        )
        self._listed[name] = replace(listed, record=record)
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
        )

    def _issue(self, record: EndpointRecord) -> EndpointRecord:
        self._sequence += 1
        issued = replace(record, sequence=self._sequence)
        self._graves.pop(issued.name, None)
        self._changed[issued.name] = issued
        return issued


def _to_percent(load: float | None) -> int:
    if load is None:
        return NO_LOAD_PERCENT
    return round(load * 100)

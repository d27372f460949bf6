"""The upstreams beside one node."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from rhubarbhollow_distribution.endpoint_record import (
    EndpointRecord,
    EndpointState,
)

if TYPE_CHECKING:
    from rhubarbhollow_distribution.announcement import Announcement
    from rhubarbhollow_wire.clock import Clock

MAX_UPSTREAMS: Final = 64
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
    expires_at: float


class AnnouncementBook:
    """Turn announcements into endpoint records with rising order.

    The node is the one authority on these records.  ``sequence`` rises
    over all its endpoints, also after one of them has gone, and
    ``incarnation`` rises with each start of the process.
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
        self._changed: dict[str, EndpointRecord] = {}

    @property
    def records(self) -> tuple[EndpointRecord, ...]:
        """Return the records of all listed endpoints, for a hello."""
        return tuple(listed.record for listed in self._listed.values())

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
        record = self._build(announcement)
        if known is not None and _is_same(known.record, record):
            record = known.record
        else:
            record = self._issue(record)
        expires_at = (
            self._clock.monotonic() + announcement.lease.total_seconds()
        )
        self._listed[announcement.name] = _Listed(
            announcement, record, expires_at
        )
        return Ok(record)

    def withdraw(self, name: str) -> Result[EndpointRecord, UnknownUpstream]:
        """Take an upstream off the list at once."""
        known = self._listed.pop(name, None)
        if known is None:
            return Err(UnknownUpstream(name))
        return Ok(self._issue(_bury(known.record)))

    def leave_all(self) -> tuple[EndpointRecord, ...]:
        """Mark every endpoint as leaving, before the node stops."""
        return tuple(self._mark_leaving(name) for name in tuple(self._listed))

    def expire(self) -> tuple[EndpointRecord, ...]:
        """Take off the list every upstream whose lease has ended."""
        now = self._clock.monotonic()
        ended = tuple(
            name
            for name, listed in self._listed.items()
            if listed.expires_at <= now
        )
        return tuple(
            self._issue(_bury(self._listed.pop(name).record)) for name in ended
        )

    def take_changes(self) -> tuple[EndpointRecord, ...]:
        """Return the latest records issued since the last call."""
        changed = tuple(self._changed.values())
        self._changed.clear()
        return changed

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
        self._changed[issued.name] = issued
        return issued


def _bury(record: EndpointRecord) -> EndpointRecord:
    return replace(record, state=int(EndpointState.GONE))


def _is_same(known: EndpointRecord, fresh: EndpointRecord) -> bool:
    return replace(known, sequence=0) == replace(fresh, sequence=0)


def _to_percent(load: float | None) -> int:
    if load is None:
        return NO_LOAD_PERCENT
    return round(load * 100)

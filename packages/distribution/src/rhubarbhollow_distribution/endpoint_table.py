"""A node's replica of the mesh's endpoint table."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from rhubarbhollow_distribution.endpoint_store import TOMBSTONE_SECONDS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_distribution.endpoint_change import EndpointChange
    from rhubarbhollow_distribution.endpoint_record import (
        EndpointKey,
        EndpointRecord,
    )
    from rhubarbhollow_wire.clock import Clock


@dataclass(frozen=True, slots=True)
class NeedsEndpoints:
    """Error: the change does not apply to the held table version.

    The node then has to request the full table.
    """

    held_source: str
    held_version: int


class EndpointTable:
    """Apply endpoint changes in order and keep the latest records.

    A record of lower order never replaces one of higher order, so a
    change of source cannot restore a removed endpoint.  At equal order
    the source's record replaces the held one, because the source knows
    which leases have expired.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._source = ""
        self._version = 0
        self._expected_source: str | None = None
        self._records: dict[EndpointKey, EndpointRecord] = {}
        # In order of deletion: the oldest tombstone comes first.
        self._gone_at: dict[EndpointKey, float] = {}

    @property
    def source(self) -> str:
        """Return the source of the last applied change."""
        return self._source

    @property
    def version(self) -> int:
        """Return the version of the last applied change."""
        return self._version

    @property
    def records(self) -> tuple[EndpointRecord, ...]:
        """Return the records that are not tombstones."""
        return tuple(
            record for record in self._records.values() if not record.is_gone
        )

    def expect(self, source: str) -> None:
        """Accept only changes of ``source``, the connected instance.

        A full table from another source, delivered late for example,
        would delete records already received from this one.
        """
        self._expected_source = source

    def apply(
        self,
        change: EndpointChange,
    ) -> Result[tuple[EndpointRecord, ...], NeedsEndpoints]:
        """Apply a change; return the records that it changed."""
        if self._expected_source not in (None, change.source):
            return Err(NeedsEndpoints(self._source, self._version))
        if change.is_full and self._is_old(change):
            return Ok(())
        if not change.is_full and not self._is_next(change):
            return Err(NeedsEndpoints(self._source, self._version))
        changed = list(self._merge(change.records))
        if change.is_full:
            changed.extend(self._delete_unlisted(change))
        self._source = change.source
        self._version = change.version
        self._track_tombstones(changed)
        return Ok(tuple(changed))

    def purge(self) -> None:
        """Purge tombstones old enough to be purged at every source."""
        oldest = self._clock.monotonic() - TOMBSTONE_SECONDS
        for key, gone_at in tuple(self._gone_at.items()):
            if gone_at > oldest:
                return
            del self._gone_at[key]
            del self._records[key]

    def _track_tombstones(self, changed: Iterable[EndpointRecord]) -> None:
        for record in changed:
            self._gone_at.pop(record.key, None)
            if record.is_gone:
                self._gone_at[record.key] = self._clock.monotonic()

    def _is_old(self, change: EndpointChange) -> bool:
        """Return whether a newer version was applied already."""
        is_same_source = change.source == self._source
        return is_same_source and change.version < self._version

    def _is_next(self, change: EndpointChange) -> bool:
        return (
            change.source == self._source
            and change.base_version <= self._version <= change.version
        )

    def _merge(
        self,
        records: Iterable[EndpointRecord],
    ) -> Iterable[EndpointRecord]:
        for record in records:
            held = self._records.get(record.key)
            if held is not None and record.order < held.order:
                continue
            if held != record:
                self._records[record.key] = record
                yield record

    def _delete_unlisted(
        self,
        change: EndpointChange,
    ) -> Iterable[EndpointRecord]:
        listed = {record.key for record in change.records}
        for key, held in tuple(self._records.items()):
            if key in listed or held.is_gone:
                continue
            tombstone = held.to_tombstone()
            self._records[key] = tombstone
            yield tombstone

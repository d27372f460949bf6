"""A control instance's table of all endpoints of the mesh."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

from rhubarbhollow_distribution.endpoint_change import EndpointChange
from rhubarbhollow_distribution.endpoint_entry import EndpointEntry
from rhubarbhollow_distribution.invariant import check_invariant
from rhubarbhollow_distribution.welcome import format_source_id

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_distribution.endpoint_record import (
        EndpointKey,
        EndpointRecord,
    )
    from rhubarbhollow_wire.clock import Clock

TOMBSTONE_SECONDS: Final = 120.0
# How long the reports of an unreachable instance still count.
UNREACHABLE_GRACE_SECONDS: Final = 30.0


class EndpointStore:
    """Merge endpoint records; the latest of each endpoint is visible.

    Every control instance reports the endpoints of the nodes that are
    connected to it.  Among the reported records of one endpoint the
    highest order wins.  At equal order a live record wins over a
    tombstone: such a tombstone comes from an expired lease, so the live
    record means that the node has connected to another instance.

    Methods that change the records reported by this instance return the
    changed records, to be sent to the other instances.  These may
    differ from the visible changes: the other instances must learn of
    an expired lease even if the node is connected elsewhere.
    """

    def __init__(
        self,
        owner: str,
        incarnation: int,
        clock: Clock,
        unreachable_grace_seconds: float = UNREACHABLE_GRACE_SECONDS,
    ) -> None:
        self._owner = owner
        self._source = format_source_id(owner, incarnation)
        self._clock = clock
        self._unreachable_grace_seconds = unreachable_grace_seconds
        # Ordered by version: the most recently changed entry is last.
        self._entries: dict[EndpointKey, EndpointEntry] = {}
        self._version = 0
        self._urgent_version = 0
        self._purged_version = 0
        self._lost_at: dict[str, float] = {}
        self._suspended: set[str] = set()
        self._cached: dict[int, EndpointChange] = {}

    @property
    def source(self) -> str:
        """Return the source identifier that scopes the versions."""
        return self._source

    @property
    def version(self) -> int:
        """Return the table version, which each change increments."""
        return self._version

    @property
    def urgent_version(self) -> int:
        """Return the version of the last change beyond load alone."""
        return self._urgent_version

    @property
    def records(self) -> tuple[EndpointRecord, ...]:
        """Return every visible record that is not a tombstone."""
        return tuple(
            entry.visible
            for entry in self._entries.values()
            if entry.visible is not None and not entry.visible.is_gone
        )

    def merge(
        self,
        records: Iterable[EndpointRecord],
        via: str,
    ) -> tuple[EndpointRecord, ...]:
        """Merge records reported by ``via``; return changed ones."""
        self._resume(via)
        return tuple(
            record for record in records if self._merge_one(record, via)
        )

    def own_records(self) -> tuple[EndpointRecord, ...]:
        """Return this instance's reported records, with tombstones."""
        return tuple(
            entry.reported[self._owner]
            for entry in self._entries.values()
            if self._owner in entry.reported
        )

    def replace_all(
        self,
        records: Iterable[EndpointRecord],
        via: str,
    ) -> None:
        """Replace all records reported by ``via`` with ``records``."""
        listed = tuple(records)
        self.merge(listed, via)
        keys = {record.key for record in listed}
        for key, entry in tuple(self._entries.items()):
            if key not in keys and via in entry.reported:
                del entry.reported[via]
                self._refresh(key)

    def incarnation_for(self, node: str, incarnation: int) -> int:
        """Return an incarnation that no record of the node exceeds.

        An equal incarnation belongs to the same process, because the
        value is the process's start time in milliseconds.
        """
        known = max(
            (
                record.incarnation
                for key, entry in self._entries.items()
                if key[0] == node
                for record in entry.reported.values()
            ),
            default=incarnation,
        )
        return incarnation if known <= incarnation else known + 1

    def admit_node(
        self,
        node: str,
        incarnation: int,
    ) -> tuple[EndpointRecord, ...]:
        """Remove the records of a node's earlier incarnations.

        Return the tombstones that replace them.
        """
        return self._delete_own(
            record
            for record in self.own_records()
            if record.node == node and record.incarnation < incarnation
        )

    def end_lease(self, node: str) -> tuple[EndpointRecord, ...]:
        """Remove the records of a node whose lease expired here.

        Return the tombstones that replace them.  A tombstone keeps the
        order of its record, so that the same record wins if another
        instance still reports the node as live.
        """
        return self._delete_own(
            record for record in self.own_records() if record.node == node
        )

    def note_lost(self, control: str) -> None:
        """Record that a control instance is unreachable from here."""
        if control not in self._suspended:
            self._lost_at.setdefault(control, self._clock.monotonic())

    def expire(self) -> None:
        """Purge old tombstones and suspend unreachable instances.

        An instance is suspended once it has been unreachable for the
        grace period.  Its reported records are kept, and count again as
        soon as it sends a message.
        """
        oldest = self._clock.monotonic() - self._unreachable_grace_seconds
        for control, lost_at in tuple(self._lost_at.items()):
            if lost_at <= oldest:
                del self._lost_at[control]
                self._suspend(control)
        self._purge_tombstones()

    def changes_since(self, source: str, version: int) -> EndpointChange:
        """Return the net change since ``version``, or the full table.

        The full table is returned for a version of another source, and
        for one so old that tombstones were purged since.
        """
        base = version if self._can_follow(source, version) else 0
        cached = self._cached.get(base)
        if cached is not None:
            return cached
        change = self._build_full() if base == 0 else self._build_net(base)
        self._cached[base] = change
        return change

    def _can_follow(self, source: str, version: int) -> bool:
        return (
            source == self._source
            and self._purged_version <= version <= self._version
        )

    def _build_full(self) -> EndpointChange:
        return EndpointChange(
            source=self._source,
            base_version=0,
            version=self._version,
            records=self.records,
            is_full=True,
        )

    def _build_net(self, base: int) -> EndpointChange:
        records: list[EndpointRecord] = []
        for entry in reversed(self._entries.values()):
            if entry.version <= base:
                break
            if entry.visible is not None:
                records.append(entry.visible)
        return EndpointChange(
            source=self._source,
            base_version=base,
            version=self._version,
            records=tuple(records),
            is_full=False,
        )

    def _merge_one(self, record: EndpointRecord, via: str) -> bool:
        entry = self._entries.get(record.key)
        if entry is None:
            entry = self._entries[record.key] = EndpointEntry()
        known = entry.reported.get(via)
        if known is not None and record.order < known.order:
            return False
        entry.reported[via] = record
        self._refresh(record.key)
        return record != known

    def _delete_own(
        self,
        records: Iterable[EndpointRecord],
    ) -> tuple[EndpointRecord, ...]:
        tombstones = tuple(
            record.to_tombstone() for record in records if not record.is_gone
        )
        self.merge(tombstones, self._owner)
        return tombstones

    def _suspend(self, control: str) -> None:
        self._suspended.add(control)
        self._refresh_reported_by(control)

    def _resume(self, control: str) -> None:
        self._lost_at.pop(control, None)
        if control in self._suspended:
            self._suspended.remove(control)
            self._refresh_reported_by(control)

    def _refresh_reported_by(self, control: str) -> None:
        for key, entry in tuple(self._entries.items()):
            if control in entry.reported:
                self._refresh(key)

    def _refresh(self, key: EndpointKey) -> None:
        entry = self._entries[key]
        before = entry.visible
        after = entry.select_visible(self._suspended)
        if after is None or after == before:
            return
        check_invariant(
            before is None or after.order >= before.order,
            "the order of an endpoint's visible record never decreases",
        )
        entry.visible = after
        self._touch(key, entry, is_urgent=not is_load_only(before, after))

    def _touch(
        self,
        key: EndpointKey,
        entry: EndpointEntry,
        *,
        is_urgent: bool,
    ) -> None:
        self._version += 1
        self._cached.clear()
        entry.version = self._version
        if is_urgent:
            self._urgent_version = self._version
        if entry.visible is not None and entry.visible.is_gone:
            entry.gone_at = self._clock.monotonic()
        self._entries[key] = self._entries.pop(key)

    def _purge_tombstones(self) -> None:
        oldest = self._clock.monotonic() - TOMBSTONE_SECONDS
        for key, entry in tuple(self._entries.items()):
            visible = entry.visible
            if visible is None or not visible.is_gone:
                continue
            if entry.gone_at <= oldest and not entry.is_reported_live:
                self._purged_version = max(self._purged_version, entry.version)
                del self._entries[key]


def is_load_only(
    before: EndpointRecord | None,
    after: EndpointRecord,
) -> bool:
    """Return whether the records differ at most in their load.

    Sequence numbers are ignored.  The result is false without a record
    ``before``.
    """
    if before is None:
        return False
    return after == replace(
        before,
        load_percent=after.load_percent,
        sequence=after.sequence,
    )

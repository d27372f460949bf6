"""A control instance's table of every endpoint of the mesh."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

from rhubarbhollow_distribution.endpoint_change import EndpointChange
from rhubarbhollow_distribution.endpoint_entry import EndpointEntry
from rhubarbhollow_distribution.invariant import check_invariant
from rhubarbhollow_distribution.welcome import name_source

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_distribution.endpoint_record import (
        EndpointKey,
        EndpointRecord,
    )
    from rhubarbhollow_wire.clock import Clock

TOMBSTONE_SECONDS: Final = 120.0
VOUCHER_SECONDS: Final = 30.0


class EndpointStore:
    """Merge endpoint records; the latest of each endpoint is visible.

    Every control instance vouches for the endpoints of the nodes that
    are connected to it.  Among the vouched records of one endpoint the
    highest order wins.  At equal order a live record beats a tombstone,
    which then stems from an ended lease only: the node has moved.

    Methods that change what this instance vouches for return just that,
    to be sent to the other instances.  It may differ from what becomes
    visible here: they must learn of an ended lease even if the node
    lives on elsewhere.
    """

    def __init__(
        self,
        owner: str,
        incarnation: int,
        clock: Clock,
        voucher_seconds: float = VOUCHER_SECONDS,
    ) -> None:
        self._owner = owner
        self._source = name_source(owner, incarnation)
        self._clock = clock
        self._voucher_seconds = voucher_seconds
        # Ordered by version: the entry that changed last comes last.
        self._entries: dict[EndpointKey, EndpointEntry] = {}
        self._version = 0
        self._urgent_version = 0
        self._purged_version = 0
        self._lost_at: dict[str, float] = {}
        self._suspended: set[str] = set()
        self._cached: dict[int, EndpointChange] = {}

    @property
    def source(self) -> str:
        """Return the identity to which the versions belong."""
        return self._source

    @property
    def version(self) -> int:
        """Return the version of the table; each change raises it."""
        return self._version

    @property
    def urgent_version(self) -> int:
        """Return the version of the last change beyond a load."""
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
        """Take over what ``via`` vouches for; return what is new."""
        self._resume(via)
        return tuple(
            record for record in records if self._merge_one(record, via)
        )

    def own_records(self) -> tuple[EndpointRecord, ...]:
        """Return what this instance vouches for, with tombstones."""
        return tuple(
            entry.vouched[self._owner]
            for entry in self._entries.values()
            if self._owner in entry.vouched
        )

    def replace_all(
        self,
        records: Iterable[EndpointRecord],
        via: str,
    ) -> None:
        """Take over the full list of ``via``; the rest is withdrawn."""
        listed = tuple(records)
        self.merge(listed, via)
        keys = {record.key for record in listed}
        for key, entry in tuple(self._entries.items()):
            if key not in keys and via in entry.vouched:
                del entry.vouched[via]
                self._refresh(key)

    def incarnation_for(self, node: str, incarnation: int) -> int:
        """Return an incarnation that no older record outranks.

        Equal ones are of the same process: a process draws the time of
        its start in milliseconds.
        """
        known = max(
            (
                record.incarnation
                for key, entry in self._entries.items()
                if key[0] == node
                for record in entry.vouched.values()
            ),
            default=incarnation,
        )
        return incarnation if known <= incarnation else known + 1

    def admit_node(
        self,
        node: str,
        incarnation: int,
    ) -> tuple[EndpointRecord, ...]:
        """Bury what earlier incarnations of a node have announced."""
        return self._bury_own(
            record
            for record in self.own_records()
            if record.node == node and record.incarnation < incarnation
        )

    def end_lease(self, node: str) -> tuple[EndpointRecord, ...]:
        """Bury the endpoints of a node whose lease ended here.

        The tombstone keeps the record's own order, so that the same
        record wins when the node is alive at another instance.
        """
        return self._bury_own(
            record for record in self.own_records() if record.node == node
        )

    def note_lost(self, control: str) -> None:
        """Note that a control instance cannot be reached from here."""
        if control not in self._suspended:
            self._lost_at.setdefault(control, self._clock.monotonic())

    def expire(self) -> None:
        """Drop old tombstones and distrust instances lost for long.

        What a distrusted instance vouches for is kept aside and counts
        again as soon as the instance is heard.
        """
        oldest = self._clock.monotonic() - self._voucher_seconds
        for control, lost_at in tuple(self._lost_at.items()):
            if lost_at <= oldest:
                del self._lost_at[control]
                self._suspend(control)
        self._purge_tombstones()

    def changes_since(self, source: str, version: int) -> EndpointChange:
        """Return the net change from ``version``, or the full table.

        A version of another source, or one so old that tombstones were
        purged since, gets the full table.
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
        known = entry.vouched.get(via)
        if known is not None and record.order < known.order:
            return False
        entry.vouched[via] = record
        self._refresh(record.key)
        return record != known

    def _bury_own(
        self,
        records: Iterable[EndpointRecord],
    ) -> tuple[EndpointRecord, ...]:
        buried = tuple(
            record.bury() for record in records if not record.is_gone
        )
        self.merge(buried, self._owner)
        return buried

    def _suspend(self, control: str) -> None:
        self._suspended.add(control)
        self._refresh_vouched(control)

    def _resume(self, control: str) -> None:
        self._lost_at.pop(control, None)
        if control in self._suspended:
            self._suspended.remove(control)
            self._refresh_vouched(control)

    def _refresh_vouched(self, control: str) -> None:
        for key, entry in tuple(self._entries.items()):
            if control in entry.vouched:
                self._refresh(key)

    def _refresh(self, key: EndpointKey) -> None:
        entry = self._entries[key]
        before = entry.visible
        after = entry.pick_visible(self._suspended)
        if after is None or after == before:
            return
        check_invariant(
            before is None or after.order >= before.order,
            "the visible record of an endpoint never gets older",
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
            if entry.gone_at <= oldest and not entry.has_live_voucher:
                self._purged_version = max(self._purged_version, entry.version)
                del self._entries[key]


def is_load_only(
    before: EndpointRecord | None,
    after: EndpointRecord,
) -> bool:
    """Tell whether two records differ in nothing that matters."""
    if before is None:
        return False
    return after == replace(
        before,
        load_percent=after.load_percent,
        sequence=after.sequence,
    )

"""A control instance's table of every endpoint of the mesh."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Final

from rhubarbhollow_distribution.endpoint_change import EndpointChange
from rhubarbhollow_distribution.endpoint_record import (
    EndpointRecord,
    EndpointState,
)
from rhubarbhollow_distribution.invariant import check_invariant

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_distribution.endpoint_record import EndpointKey
    from rhubarbhollow_wire.clock import Clock

TOMBSTONE_SECONDS: Final = 120.0
VOUCHER_SECONDS: Final = 30.0


@dataclass(slots=True)
class _Entry:
    """Hold what each control instance says of one endpoint."""

    vouched: dict[str, EndpointRecord] = field(default_factory=dict)
    visible: EndpointRecord | None = None
    version: int = 0
    gone_at: float = 0.0


class EndpointStore:
    """Merge endpoint records; the latest of each endpoint is visible.

    Every control instance vouches for the endpoints of the nodes that
    are connected to it.  Among the vouched records of one endpoint the
    highest order wins.  At equal order a live record beats a tombstone,
    which then stems from an ended lease only: the node has moved.
    """

    def __init__(
        self,
        owner: str,
        incarnation: int,
        clock: Clock,
        voucher_seconds: float = VOUCHER_SECONDS,
    ) -> None:
        self._owner = owner
        self._source = f"{owner}/{incarnation}"
        self._clock = clock
        self._voucher_seconds = voucher_seconds
        # Ordered by version: the entry that changed last comes last.
        self._entries: dict[EndpointKey, _Entry] = {}
        self._version = 0
        self._urgent_version = 0
        self._purged_version = 0
        self._lost_at: dict[str, float] = {}
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
        """Take over what ``via`` vouches for; return what changed."""
        self._lost_at.pop(via, None)
        changed = (self._merge_one(record, via) for record in records)
        return tuple(record for record in changed if record is not None)

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
    ) -> tuple[EndpointRecord, ...]:
        """Take over the full list of ``via``; the rest is withdrawn."""
        listed = tuple(records)
        changed = list(self.merge(listed, via))
        keys = {record.key for record in listed}
        for key in tuple(self._entries):
            if key not in keys:
                changed.extend(self._withdraw(key, via))
        return tuple(changed)

    def end_lease(self, node: str) -> tuple[EndpointRecord, ...]:
        """Bury the endpoints of a node whose lease ended here.

        The tombstone keeps the record's own order, so that the same
        record wins when the node is alive at another instance.
        """
        changed: list[EndpointRecord] = []
        for key, entry in tuple(self._entries.items()):
            own = entry.vouched.get(self._owner)
            if own is None or own.node != node or own.is_gone:
                continue
            entry.vouched[self._owner] = _bury(own)
            changed.extend(self._refresh(key))
        return tuple(changed)

    def note_lost(self, control: str) -> None:
        """Note that a control instance cannot be reached from here."""
        self._lost_at.setdefault(control, self._clock.monotonic())

    def expire(self) -> tuple[EndpointRecord, ...]:
        """Drop old tombstones and what lost instances vouch for."""
        changed = tuple(
            record
            for control in self._expired_vouchers()
            for record in self._withdraw_all(control)
        )
        self._purge_tombstones()
        return changed

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

    def _merge_one(
        self,
        record: EndpointRecord,
        via: str,
    ) -> EndpointRecord | None:
        entry = self._entries.get(record.key)
        if entry is None:
            entry = self._entries[record.key] = _Entry()
        known = entry.vouched.get(via)
        if known is not None and record.order < known.order:
            return None
        entry.vouched[via] = record
        return next(iter(self._refresh(record.key)), None)

    def _withdraw(self, key: EndpointKey, via: str) -> list[EndpointRecord]:
        entry = self._entries[key]
        if entry.vouched.pop(via, None) is None:
            return []
        return self._refresh(key)

    def _withdraw_all(self, via: str) -> list[EndpointRecord]:
        return [
            record
            for key in tuple(self._entries)
            for record in self._withdraw(key, via)
        ]

    def _expired_vouchers(self) -> tuple[str, ...]:
        oldest = self._clock.monotonic() - self._voucher_seconds
        expired = tuple(
            control
            for control, since in self._lost_at.items()
            if since <= oldest
        )
        for control in expired:
            del self._lost_at[control]
        return expired

    def _refresh(self, key: EndpointKey) -> list[EndpointRecord]:
        entry = self._entries[key]
        before = entry.visible
        after = _pick_visible(entry)
        if after is None or after == before:
            return []
        check_invariant(
            before is None or after.order >= before.order,
            "the visible record of an endpoint never gets older",
        )
        entry.visible = after
        self._touch(key, entry, is_urgent=not _is_load_only(before, after))
        return [after]

    def _touch(
        self,
        key: EndpointKey,
        entry: _Entry,
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
            if entry.gone_at <= oldest:
                self._purged_version = max(self._purged_version, entry.version)
                del self._entries[key]


def _bury(record: EndpointRecord) -> EndpointRecord:
    return replace(record, state=int(EndpointState.GONE), load_percent=0)


def _pick_visible(entry: _Entry) -> EndpointRecord | None:
    best = max(
        entry.vouched.values(),
        key=lambda record: (record.order, not record.is_gone),
        default=None,
    )
    known = entry.visible
    if known is None:
        return best
    if best is None or best.order < known.order:
        # Nobody vouches for the newest record any more.
        return _bury(known)
    return best


def _is_load_only(
    before: EndpointRecord | None,
    after: EndpointRecord,
) -> bool:
    if before is None:
        return False
    return after == replace(
        before,
        load_percent=after.load_percent,
        sequence=after.sequence,
    )

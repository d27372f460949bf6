"""The register of nodes connected to one control instance."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from rhubarbhollow_distribution.active_report import ActiveReport
from rhubarbhollow_distribution.node_entry import NodeEntry
from rhubarbhollow_distribution.node_heartbeat import NodeHeartbeat
from rhubarbhollow_distribution.position_count import PositionCount
from rhubarbhollow_distribution.register_summary import RegisterSummary
from rhubarbhollow_distribution.staged_report import StagedReport

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_distribution.hello import Hello
    from rhubarbhollow_distribution.node_message import NodeMessage
    from rhubarbhollow_wire.clock import Clock


class NodeRegister:
    """Track the positions and leases of the connected nodes.

    A node is counted until its lease expires; every message renews the
    lease.  A node that reconnects replaces its earlier entry unless
    that entry belongs to a later incarnation.
    """

    def __init__(
        self,
        control: str,
        data_centre: str,
        clock: Clock,
        lease_seconds: float,
    ) -> None:
        self._control = control
        self._data_centre = data_centre
        self._clock = clock
        self._lease_seconds = lease_seconds
        self._entries: dict[str, NodeEntry] = {}
        self._floor = 0
        self._checked_at = clock.monotonic()

    @property
    def floor(self) -> int:
        """Return the highest position that a local node has held.

        Staged releases are included, since a call may activate one at
        any moment.  Only nodes of this data centre are considered.  The
        value never decreases, even after the reporting node is removed.
        """
        return self._floor

    @property
    def entries(self) -> tuple[NodeEntry, ...]:
        """Return the entries of all nodes with a valid lease."""
        return tuple(self._live())

    def admit(self, hello: Hello) -> bool:
        """Add a node; return whether it was added.

        It is not added if a later incarnation of it is connected.
        """
        known = self._entries.get(hello.node)
        if known is not None and known.incarnation > hello.incarnation:
            return False
        staged = frozenset(
            position
            for position in (hello.staged_position,)
            if position > hello.active_position
        )
        self._entries[hello.node] = NodeEntry(
            node=hello.node,
            data_centre=hello.data_centre,
            incarnation=hello.incarnation,
            active_position=hello.active_position,
            staged_positions=staged,
            heard_at=self._clock.monotonic(),
        )
        self._raise_floor(self._entries[hello.node])
        return True

    def accept(self, node: str, message: NodeMessage) -> None:
        """Renew the node's lease and update its reported positions."""
        known = self._entries.get(node)
        if known is None:
            return
        entry = replace(known, heard_at=self._clock.monotonic())
        match message:
            case StagedReport(position=position):
                entry = _add_staged(entry, position)
            case ActiveReport(position=position):
                entry = _raise_active(entry, position)
            case NodeHeartbeat(
                active_position=active,
                staged_position=staged,
            ):
                entry = _add_staged(_raise_active(entry, active), staged)
            case _:
                pass
        self._entries[node] = entry
        self._raise_floor(entry)

    def remove(self, node: str, incarnation: int) -> None:
        """Remove a node whose connection was closed.

        An entry of another incarnation is kept.
        """
        known = self._entries.get(node)
        if known is not None and known.incarnation == incarnation:
            del self._entries[node]

    def expired(self) -> tuple[str, ...]:
        """Return the nodes whose lease expired, for removal.

        Call this several times per lease duration: longer gaps between
        calls count as a pause of this process and extend the leases.
        """
        live = {entry.node for entry in self._live()}
        return tuple(node for node in self._entries if node not in live)

    def all_staged(self, position: int) -> bool:
        """Return whether every live node is ready for ``position``."""
        return all(entry.is_ready(position) for entry in self._live())

    def in_force_count(self, position: int) -> int:
        """Count the live nodes at ``position`` or above."""
        return sum(
            1 for entry in self._live() if entry.active_position >= position
        )

    def summary(self) -> RegisterSummary:
        """Count the live nodes by position, for the leader."""
        live = tuple(self._live())
        return RegisterSummary(
            control=self._control,
            live_nodes=len(live),
            staged=_count(
                position
                for entry in live
                for position in entry.staged_positions
            ),
            in_force=_count(entry.active_position for entry in live),
        )

    def _extend_leases_after_pause(self) -> None:
        # Messages that arrived while this process was paused have not
        # been read yet, so the pause must not count against any lease.
        now = self._clock.monotonic()
        pause_seconds = now - self._checked_at
        self._checked_at = now
        if pause_seconds < self._lease_seconds / 2:
            return
        self._entries = {
            node: replace(entry, heard_at=entry.heard_at + pause_seconds)
            for node, entry in self._entries.items()
        }

    def _live(self) -> Iterable[NodeEntry]:
        self._extend_leases_after_pause()
        oldest = self._clock.monotonic() - self._lease_seconds
        return (
            entry
            for entry in self._entries.values()
            if entry.heard_at >= oldest
        )

    def _raise_floor(self, entry: NodeEntry) -> None:
        if entry.data_centre == self._data_centre:
            self._floor = max(self._floor, entry.staged_position)


def _add_staged(entry: NodeEntry, position: int) -> NodeEntry:
    if position <= entry.active_position:
        return entry
    return replace(entry, staged_positions=entry.staged_positions | {position})


def _raise_active(entry: NodeEntry, position: int) -> NodeEntry:
    if position <= entry.active_position:
        return entry
    staged = frozenset(
        staged for staged in entry.staged_positions if staged > position
    )
    return replace(entry, active_position=position, staged_positions=staged)


def _count(positions: Iterable[int]) -> tuple[PositionCount, ...]:
    counted = Counter(positions)
    return tuple(
        PositionCount(position, counted[position])
        for position in sorted(counted)
    )

"""The log with its configurations and its pending writes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_replication.configuration import (
    Configuration,
    decode_configuration,
)
from rhubarbhollow_replication.configuration_history import (
    ConfigurationHistory,
)
from rhubarbhollow_replication.entry import Entry, EntryKind
from rhubarbhollow_replication.invariants import require
from rhubarbhollow_replication.log import Log
from rhubarbhollow_replication.write import (
    InstallSnapshot,
    SaveEntries,
    SaveSnapshot,
    Write,
)

if TYPE_CHECKING:
    from rhubarbhollow_replication.recovered_state import RecoveredState
    from rhubarbhollow_replication.snapshot import Snapshot


class Journal:
    """Modify the log and queue the writes that make it durable."""

    def __init__(
        self, recovered: RecoveredState, initial: Configuration
    ) -> None:
        snapshot = recovered.snapshot
        self._log = Log()
        self._configurations = ConfigurationHistory(0, initial)
        self._commit_index = 0
        self._snapshot = snapshot
        if snapshot is not None:
            self._reset_to(snapshot)
        self._extend(recovered.entries)
        self.commit(recovered.committed_index)
        self._synced_index = self._log.last_index
        self._writes: list[Write] = []

    @property
    def log(self) -> Log:
        """The log entries kept in memory."""
        return self._log

    @property
    def configurations(self) -> ConfigurationHistory:
        """The configurations contained in the log."""
        return self._configurations

    @property
    def commit_index(self) -> int:
        """The last index known to be durable on a quorum."""
        return self._commit_index

    @property
    def synced_index(self) -> int:
        """The last index known to be durable on this replica."""
        return self._synced_index

    @property
    def snapshot(self) -> Snapshot | None:
        """The snapshot of the compacted log prefix, if any."""
        return self._snapshot

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._configurations.current

    def take_writes(self) -> tuple[Write, ...]:
        """Return the pending writes, oldest first, and clear them."""
        writes = tuple(self._writes)
        self._writes.clear()
        return writes

    def add_write(self, write: Write) -> None:
        """Queue a write after the pending ones."""
        self._writes.append(write)

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries, replacing the log from the first one on."""
        first = entries[0].index
        require(
            first > self._commit_index,
            "a committed entry must not be replaced",
        )
        if first <= self._log.last_index:
            self._log.truncate_from(first)
            self._configurations.truncate_from(first)
            self._synced_index = min(self._synced_index, first - 1)
        self._extend(entries)
        self._writes.append(SaveEntries(entries))

    def mark_synced(self, index: int) -> None:
        """Mark the log up to ``index`` as durable on this replica."""
        self._synced_index = min(index, self._log.last_index)

    def merge(self, entries: tuple[Entry, ...]) -> None:
        """Append those of a leader's entries that are missing here.

        Entries that conflict with the leader's are replaced.
        """
        for position, entry in enumerate(entries):
            if entry.index <= self._log.base_index:
                continue
            if self._log.term_at(entry.index) != entry.term:
                self.append(entries[position:])
                return

    def commit(self, index: int) -> bool:
        """Advance the commit index; return whether it advanced."""
        if index <= self._commit_index:
            return False
        require(
            index <= self._log.last_index,
            "the commit index must not exceed the last index",
        )
        self._commit_index = index
        return True

    def compact(self, snapshot: Snapshot) -> None:
        """Replace a prefix of the log with a local snapshot."""
        require(
            snapshot.last_index <= self._commit_index,
            "a local snapshot must not cover uncommitted entries",
        )
        self._log.compact(snapshot.last_index)
        self._configurations.compact(snapshot.last_index)
        self._snapshot = snapshot
        self._writes.append(SaveSnapshot(snapshot))

    def install(self, snapshot: Snapshot) -> None:
        """Replace the whole log with a snapshot of the leader."""
        require(
            snapshot.last_index > self._commit_index,
            "an installed snapshot must be ahead of the commit index",
        )
        self._reset_to(snapshot)
        self._synced_index = 0
        self._writes.append(InstallSnapshot(snapshot))

    def _reset_to(self, snapshot: Snapshot) -> None:
        index = snapshot.last_index
        self._log = Log(index, snapshot.last_term)
        self._configurations = ConfigurationHistory(
            index, snapshot.configuration
        )
        self._commit_index = index
        self._snapshot = snapshot

    def _extend(self, entries: tuple[Entry, ...]) -> None:
        self._log.append(entries)
        for entry in entries:
            if entry.kind is not EntryKind.CONFIG:
                continue
            configuration = decode_configuration(entry.payload)
            self._configurations.add(entry.index, configuration)

"""The log with its memberships and its pending writes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_replication.configuration import (
    Configuration,
    decode_configuration,
)
from rhubarbhollow_replication.entry import Entry, EntryKind
from rhubarbhollow_replication.invariants import require
from rhubarbhollow_replication.log import Log
from rhubarbhollow_replication.memberships import Memberships
from rhubarbhollow_replication.write import (
    InstallSnapshot,
    SaveEntries,
    SaveSnapshot,
    Write,
)

if TYPE_CHECKING:
    from rhubarbhollow_replication.recovered import Recovered
    from rhubarbhollow_replication.snapshot import Snapshot


class Journal:
    """Change the log and note what the store has to make durable.

    ``synced_index`` is how far the log is durable here, and
    ``commit_index`` how far it is known to be durable on a quorum.
    """

    def __init__(self, recovered: Recovered, initial: Configuration) -> None:
        snapshot = recovered.snapshot
        self.log = Log()
        self.memberships = Memberships(0, initial)
        self.commit_index = 0
        self.snapshot = snapshot
        if snapshot is not None:
            self._start_after(snapshot)
        self._extend(recovered.entries)
        self.synced_index = self.log.last_index
        self._writes: list[Write] = []

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self.memberships.current

    def take_writes(self) -> tuple[Write, ...]:
        """Return the pending writes, oldest first, and forget them."""
        writes = tuple(self._writes)
        self._writes.clear()
        return writes

    def add_write(self, write: Write) -> None:
        """Have the store make something else durable in turn."""
        self._writes.append(write)

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Add entries, replacing the log from the first one on."""
        first = entries[0].index
        require(first > self.commit_index, "committed entry replaced")
        if first <= self.log.last_index:
            self.log.truncate_from(first)
            self.memberships.truncate_from(first)
            self.synced_index = min(self.synced_index, first - 1)
        self._extend(entries)
        self._writes.append(SaveEntries(entries))

    def merge(self, entries: tuple[Entry, ...]) -> None:
        """Add the part of a leader's entries that is not yet held."""
        for position, entry in enumerate(entries):
            if entry.index <= self.log.base_index:
                continue
            if self.log.term_at(entry.index) != entry.term:
                self.append(entries[position:])
                return

    def commit(self, index: int) -> bool:
        """Raise the commit index; return whether it rose."""
        if index <= self.commit_index:
            return False
        require(index <= self.log.last_index, "commit beyond the log")
        self.commit_index = index
        return True

    def compact(self, snapshot: Snapshot) -> None:
        """Let a snapshot taken here stand for the log's prefix."""
        require(snapshot.last_index <= self.commit_index, "snapshot too new")
        self.log.compact(snapshot.last_index)
        self.memberships.compact(snapshot.last_index)
        self.snapshot = snapshot
        self._writes.append(SaveSnapshot(snapshot))

    def install(self, snapshot: Snapshot) -> None:
        """Let the leader's snapshot replace the whole log."""
        require(snapshot.last_index > self.commit_index, "snapshot too old")
        self._start_after(snapshot)
        self.synced_index = 0
        self._writes.append(InstallSnapshot(snapshot))

    def _start_after(self, snapshot: Snapshot) -> None:
        index = snapshot.last_index
        self.log = Log(index, snapshot.last_term)
        self.memberships = Memberships(index, snapshot.configuration)
        self.commit_index = index
        self.snapshot = snapshot

    def _extend(self, entries: tuple[Entry, ...]) -> None:
        self.log.append(entries)
        for entry in entries:
            if entry.kind is not EntryKind.CONFIG:
                continue
            configuration = decode_configuration(entry.payload)
            self.memberships.add(entry.index, configuration)

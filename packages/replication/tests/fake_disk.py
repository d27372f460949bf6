"""In-memory disk that loses data that was not synced in a crash."""

from __future__ import annotations

import errno
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhollow_replication.disk import SyncError

if TYPE_CHECKING:
    from random import Random


class CrashError(Exception):
    """The process crashed during a disk operation."""


@dataclass
class FakeInode:
    """The current and the synced contents of a file.

    ``dropped_from`` is where the bytes begin that a failed sync has
    marked clean: later syncs succeed without writing the file.
    """

    content: bytes = b""
    synced: bytes = b""
    dropped_from: int | None = None


class FakeFile:
    def __init__(self, disk, node):
        self._disk = disk
        self._node = node

    def write(self, data):
        self._disk.count_operation()
        if self._disk.is_full:
            self._node.content += data[: len(data) // 2]
            raise OSError(errno.ENOSPC, "full")
        self._node.content += data

    def sync(self):
        self._disk.sync_node(self._node)

    def close(self):
        pass


class FakeDisk:
    """File names and contents, both current and as synced.

    A crash decides for each name and each file independently what is
    kept beyond the synced state: a prefix of the appended data, whose
    last byte may be corrupt.
    """

    def __init__(self, random: Random):
        self.random = random
        self.names_now: dict = {}
        self.names_synced: dict = {}
        self.is_full = False
        self.fails_sync = False
        self.drops_sync = False
        self.crash_after: int | None = None

    def count_operation(self):
        if self.crash_after is None:
            return
        self.crash_after -= 1
        if self.crash_after < 0:
            raise CrashError

    def make_folder(self, folder):
        pass

    def names(self, folder):
        return sorted(p.name for p in self.names_now if p.parent == folder)

    def read(self, path):
        return self.names_now[path].content

    def open(self, path):
        self.count_operation()
        return FakeFile(self, self.names_now.setdefault(path, FakeInode()))

    def overwrite(self, path, data):
        self.count_operation()
        self.names_now.setdefault(path, FakeInode()).content = data

    def truncate(self, path, size):
        node = self.names_now[path]
        node.content = node.content[:size]
        if node.dropped_from is not None and size <= node.dropped_from:
            node.dropped_from = None
        self.sync_node(node)

    def rename(self, source, target):
        self.count_operation()
        for path in [p for p in self.names_now if source in (p, p.parent)]:
            moved = target if path == source else target / path.name
            self.names_now[moved] = self.names_now.pop(path)

    def remove(self, path):
        self.count_operation()
        del self.names_now[path]

    def sync_folder(self, folder):
        self.count_operation()
        if self.fails_sync:
            raise SyncError(errno.EIO, "sync")
        for path in {*self.names_now, *self.names_synced}:
            if path.parent == folder:
                self._copy_name(path, self.names_now, self.names_synced)

    def sync_node(self, node):
        self.count_operation()
        if self.fails_sync:
            if node.dropped_from is None:
                node.dropped_from = len(node.synced)
            raise SyncError(errno.EIO, "sync")
        if not self.drops_sync and node.dropped_from is None:
            node.synced = node.content

    def clear_faults(self):
        """Work again, with all data that was written."""
        self.is_full = self.fails_sync = False
        self.crash_after = None

    def crash(self):
        """Lose a random part of the unsynced data and clear faults."""
        self.clear_faults()
        for path in sorted({*self.names_now, *self.names_synced}):
            if self.random.random() < 0.5:
                self._copy_name(path, self.names_synced, self.names_now)
        for path in sorted(self.names_now):
            node = self.names_now[path]
            node.content = node.synced = self._surviving(node)
            node.dropped_from = None
        self.names_synced = dict(self.names_now)

    def _copy_name(self, path, source, target):
        if path in source:
            target[path] = source[path]
        else:
            target.pop(path, None)

    def _surviving(self, node):
        if not node.content.startswith(node.synced):
            return self.random.choice((node.content, node.synced))
        tail = node.content[len(node.synced) :]
        kept = tail[: self.random.randint(0, len(tail))]
        if kept and self.random.random() < 0.3:
            kept = kept[:-1] + bytes([kept[-1] ^ 0x40])
        return node.synced + kept

    def flip(self, path, offset):
        node = self.names_now[path]
        damaged = bytearray(node.content)
        damaged[offset] ^= 1 << self.random.randrange(8)
        node.content = node.synced = bytes(damaged)

"""The file operations of the store, behind an interface."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from pathlib import Path


class SyncError(OSError):
    """Report that an fsync failed, as opposed to a write."""


class DiskFile(Protocol):
    """A file open for writing at its end."""

    def write(self, data: bytes) -> None:
        """Write all of ``data`` at the end, not yet durable."""
        ...

    def sync(self) -> None:
        """Make everything written durable; raise SyncError if not."""
        ...

    def close(self) -> None:
        """Release the file without syncing."""
        ...


class Disk(Protocol):
    """Operations on files; every failure is an OSError."""

    def make_folder(self, folder: Path) -> None:
        """Create ``folder`` and its parents unless they exist."""
        ...

    def names(self, folder: Path) -> list[str]:
        """Return the sorted names in ``folder``."""
        ...

    def read(self, path: Path) -> bytes:
        """Return the whole file."""
        ...

    def open(self, path: Path) -> DiskFile:
        """Open for appending, creating the file if need be."""
        ...

    def overwrite(self, path: Path, data: bytes) -> None:
        """Replace the file's bytes, neither atomic nor durable."""
        ...

    def truncate(self, path: Path, size: int) -> None:
        """Cut the file to ``size`` bytes and sync it."""
        ...

    def rename(self, source: Path, target: Path) -> None:
        """Replace ``target`` by ``source`` in one step."""
        ...

    def remove(self, path: Path) -> None:
        """Delete one file."""
        ...

    def sync_folder(self, folder: Path) -> None:
        """Make created, renamed and deleted names durable."""
        ...


class OsFile:
    """Append to a file of the operating system."""

    def __init__(self, path: Path) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self._descriptor = os.open(path, flags, 0o640)

    def write(self, data: bytes) -> None:
        """Write all of ``data`` at the end, not yet durable."""
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(self._descriptor, rest) :]

    def sync(self) -> None:
        """Make everything written durable; raise SyncError if not."""
        _sync(self._descriptor)

    def close(self) -> None:
        """Release the file without syncing."""
        os.close(self._descriptor)


class OsDisk:
    """Use the files of the operating system."""

    def make_folder(self, folder: Path) -> None:
        """Create ``folder`` and its parents unless they exist."""
        folder.mkdir(parents=True, exist_ok=True)

    def names(self, folder: Path) -> list[str]:
        """Return the sorted names in ``folder``."""
        return sorted(os.listdir(folder))

    def read(self, path: Path) -> bytes:
        """Return the whole file."""
        return path.read_bytes()

    def open(self, path: Path) -> DiskFile:
        """Open for appending, creating the file if need be."""
        return OsFile(path)

    def overwrite(self, path: Path, data: bytes) -> None:
        """Replace the file's bytes, neither atomic nor durable."""
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT, 0o640)
        try:
            os.pwrite(descriptor, data, 0)
        finally:
            os.close(descriptor)

    def truncate(self, path: Path, size: int) -> None:
        """Cut the file to ``size`` bytes and sync it."""
        descriptor = os.open(path, os.O_WRONLY)
        try:
            os.ftruncate(descriptor, size)
            _sync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, source: Path, target: Path) -> None:
        """Replace ``target`` by ``source`` in one step."""
        source.replace(target)

    def remove(self, path: Path) -> None:
        """Delete one file."""
        path.unlink()

    def sync_folder(self, folder: Path) -> None:
        """Make created, renamed and deleted names durable."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            _sync(descriptor)
        finally:
            os.close(descriptor)


def _sync(descriptor: int) -> None:
    try:
        os.fsync(descriptor)
    except OSError as error:
        raise SyncError(error.errno, error.strerror) from error

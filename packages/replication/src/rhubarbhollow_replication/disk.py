"""File operations of the store and the interface to them."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from pathlib import Path


class SyncError(OSError):
    """An fsync failed, as opposed to a write."""


class DiskFile(Protocol):
    """A file opened for appending."""

    def write(self, data: bytes) -> None:
        """Append all of ``data`` without making it durable."""
        ...

    def sync(self) -> None:
        """Make all written data durable or raise SyncError."""
        ...

    def close(self) -> None:
        """Close the file without syncing it."""
        ...


class Disk(Protocol):
    """File system operations; every failure raises an OSError."""

    def make_folder(self, folder: Path) -> None:
        """Create ``folder`` and its parents unless they exist."""
        ...

    def names(self, folder: Path) -> list[str]:
        """Return the sorted file names in ``folder``."""
        ...

    def read(self, path: Path) -> bytes:
        """Return the contents of a file."""
        ...

    def open(self, path: Path) -> DiskFile:
        """Open a file for appending, creating it if needed."""
        ...

    def overwrite(self, path: Path, data: bytes) -> None:
        """Write ``data`` from the start, neither atomic nor durable.

        Bytes past the end of ``data`` are not truncated.
        """
        ...

    def truncate(self, path: Path, size: int) -> None:
        """Truncate the file to ``size`` bytes and sync it."""
        ...

    def rename(self, source: Path, target: Path) -> None:
        """Rename ``source`` to ``target`` atomically."""
        ...

    def remove(self, path: Path) -> None:
        """Delete a file."""
        ...

    def sync_folder(self, folder: Path) -> None:
        """Make created, renamed and deleted entries durable."""
        ...


class OsFile:
    """A file of the operating system, opened for appending."""

    def __init__(self, path: Path) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self._descriptor = os.open(path, flags, 0o640)

    def write(self, data: bytes) -> None:
        """Append all of ``data`` without making it durable."""
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(self._descriptor, rest) :]

    def sync(self) -> None:
        """Make all written data durable or raise SyncError."""
        _sync(self._descriptor)

    def close(self) -> None:
        """Close the file without syncing it."""
        os.close(self._descriptor)


class OsDisk:
    """File system of the operating system."""

    def make_folder(self, folder: Path) -> None:
        """Create ``folder`` and its parents unless they exist."""
        folder.mkdir(parents=True, exist_ok=True)

    def names(self, folder: Path) -> list[str]:
        """Return the sorted file names in ``folder``."""
        return sorted(os.listdir(folder))

    def read(self, path: Path) -> bytes:
        """Return the contents of a file."""
        return path.read_bytes()

    def open(self, path: Path) -> DiskFile:
        """Open a file for appending, creating it if needed."""
        return OsFile(path)

    def overwrite(self, path: Path, data: bytes) -> None:
        """Write ``data`` from the start, neither atomic nor durable.

        Bytes past the end of ``data`` are not truncated.
        """
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT, 0o640)
        try:
            os.pwrite(descriptor, data, 0)
        finally:
            os.close(descriptor)

    def truncate(self, path: Path, size: int) -> None:
        """Truncate the file to ``size`` bytes and sync it."""
        descriptor = os.open(path, os.O_WRONLY)
        try:
            os.ftruncate(descriptor, size)
            _sync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, source: Path, target: Path) -> None:
        """Rename ``source`` to ``target`` atomically."""
        source.replace(target)

    def remove(self, path: Path) -> None:
        """Delete a file."""
        path.unlink()

    def sync_folder(self, folder: Path) -> None:
        """Make created, renamed and deleted entries durable."""
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

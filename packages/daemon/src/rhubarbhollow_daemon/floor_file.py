"""Durable storage of a data centre's floor."""

from __future__ import annotations

import os
import zlib
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from pathlib import Path

FLOOR_FILE_NAME: Final = "floor"


class FloorFile:
    """Store the highest position that may be in force on a local node.

    The file holds the position and its checksum as text. A damaged file
    reads as 0 and is reported. The floor is then raised again to the
    latest position in the control instance's log, or to a higher one
    that a node reports, so it stays too low only if the log is lost or
    behind as well.
    """

    def __init__(self, folder: Path) -> None:
        self._path = folder / FLOOR_FILE_NAME
        self._position, self._is_damaged = _read(self._path)

    @property
    def position(self) -> int:
        """Return the floor that is synced to disk."""
        return self._position

    @property
    def is_damaged(self) -> bool:
        """Return whether the file was damaged when it was opened."""
        return self._is_damaged

    def raise_to(self, position: int) -> None:
        """Sync a higher floor to disk.

        A position at or below the floor is ignored. Raises ``OSError``
        if the file cannot be written.
        """
        if position <= self._position:
            return
        body = str(position)
        line = f"{body} {zlib.crc32(body.encode())}\n"
        temporary = self._path.with_suffix(".new")
        with temporary.open("w") as file:
            file.write(line)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._path)
        _sync_folder(self._path.parent)
        self._position = position


def _read(path: Path) -> tuple[int, bool]:
    try:
        body, checksum = path.read_text().split()
        if int(checksum) == zlib.crc32(body.encode()):
            return int(body), False
    except FileNotFoundError:
        return 0, False
    except (OSError, ValueError):
        return 0, True
    return 0, True


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)

"""Small files that are replaced as a whole."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from pathlib import Path

    from rhubarbhollow_replication.disk import Disk

_TEMPORARY_SUFFIX: Final = ".new"


def replace_file(folder: Path, disk: Disk, name: str, data: bytes) -> None:
    """Replace a file atomically: a crash leaves the old or the new."""
    temporary = folder / (name + _TEMPORARY_SUFFIX)
    if temporary.name in disk.names(folder):
        disk.remove(temporary)
    file = disk.open(temporary)
    try:
        file.write(data)
        file.sync()
    finally:
        file.close()
    disk.rename(temporary, folder / name)
    disk.sync_folder(folder)

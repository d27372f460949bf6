"""The record of the right to form the log, kept on a member's disk.

Startup imports this module before the program is loaded, so it imports
little.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

from rhubarbhollow_replication.disk import Disk, OsDisk
from rhubarbhollow_replication.record import (
    CorruptBytes,
    add_checksum_header,
    strip_checksum_header,
)
from rhubarbhollow_replication.replaced_file import replace_file

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

FORMATION_NAME: Final = "formation"
IDENTITY_NAME: Final = "store"


def record_formation(
    folder: Path, members: Iterable[str], disk: Disk | None = None
) -> None:
    """Make the initial members durable before a store's first use.

    Only an initial member that starts for the first time may call this.
    A folder that has been formatted, that has a record, or whose store
    was set aside is left as it is. Raise ``OSError`` if the record may
    not be durable.
    """
    disk = disk or OsDisk()
    disk.make_folder(folder)
    if has_set_aside(folder, disk):
        return
    names = disk.names(folder)
    if FORMATION_NAME not in names and IDENTITY_NAME not in names:
        body = json.dumps(sorted(members)).encode()
        replace_file(folder, disk, FORMATION_NAME, add_checksum_header(body))
    disk.sync_folder(folder)
    disk.sync_folder(folder.parent)


def has_set_aside(folder: Path, disk: Disk) -> bool:
    """Return whether a corrupt store of this member was set aside."""
    prefix = set_aside_prefix(folder)
    return any(name.startswith(prefix) for name in disk.names(folder.parent))


def set_aside_prefix(folder: Path) -> str:
    """Return how the names of corrupt stores that were kept begin."""
    return f"{folder.name}.corrupt"


def read_formation(folder: Path, disk: Disk) -> tuple[str, ...] | CorruptBytes:
    """Return the recorded members, or none if there is no record."""
    if FORMATION_NAME not in disk.names(folder):
        return ()
    body = strip_checksum_header(disk.read(folder / FORMATION_NAME))
    if isinstance(body, CorruptBytes):
        return body
    return tuple(json.loads(body))

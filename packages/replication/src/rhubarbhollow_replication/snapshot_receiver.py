"""Assembly of a snapshot from a leader's chunks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_replication.record import CorruptBytes
from rhubarbhollow_replication.snapshot import Snapshot, decode_snapshot

if TYPE_CHECKING:
    from rhubarbhollow_replication.chunk import SnapshotChunk

MAX_SNAPSHOT_BYTES: Final = 64 * 1024 * 1024


class SnapshotReceiver:
    """Collect the chunks of one snapshot in order.

    A chunk of another snapshot starts over, and one that does not fit
    changes nothing: the reply's offset asks for the right one.
    """

    def __init__(self) -> None:
        self._identity = (0, "", 0)
        self._encoded = bytearray()

    @property
    def offset(self) -> int:
        """How many bytes have arrived, and so which come next."""
        return len(self._encoded)

    def add(self, chunk: SnapshotChunk) -> Snapshot | None:
        """Take a chunk; return the snapshot once it is whole."""
        identity = (chunk.term, chunk.leader, chunk.last_index)
        if identity != self._identity:
            self._identity = identity
            self._encoded.clear()
        if chunk.offset != len(self._encoded):
            return None
        if len(self._encoded) + len(chunk.data) > MAX_SNAPSHOT_BYTES:
            self._encoded.clear()
            return None
        self._encoded += chunk.data
        if not chunk.is_last:
            return None
        snapshot = decode_snapshot(bytes(self._encoded))
        self._encoded.clear()
        if isinstance(snapshot, CorruptBytes):
            return None
        return snapshot

"""Assembly of a snapshot from the chunks of a leader."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_replication.record import CorruptBytes
from rhubarbhollow_replication.snapshot import Snapshot, decode_snapshot

if TYPE_CHECKING:
    from rhubarbhollow_replication.chunk import SnapshotChunk

MAX_SNAPSHOT_BYTES: Final = 64 * 1024 * 1024


class SnapshotReceiver:
    """Assemble a snapshot from chunks that arrive in order.

    A chunk of another snapshot discards what was received before. A
    chunk at another offset than the expected one is ignored, because
    the offset in the reply requests the right chunk.
    """

    def __init__(self) -> None:
        self._identity = (0, "", 0)
        self._encoded = bytearray()

    @property
    def offset(self) -> int:
        """The offset of the next chunk, in bytes."""
        return len(self._encoded)

    def add(self, chunk: SnapshotChunk) -> Snapshot | None:
        """Add a chunk; return the snapshot once it is complete."""
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

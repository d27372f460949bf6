"""Messages that transfer a snapshot in chunks of bounded size."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Part of an encoded snapshot, starting at byte ``offset``."""

    term: int
    leader: str
    last_index: int
    last_term: int
    offset: int
    data: bytes
    is_last: bool
    round: int
    store_id: str


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """Request for the snapshot chunk that starts at ``offset``.

    ``round`` includes the follower's tag, see ``round_tag``.
    """

    term: int
    follower: str
    last_index: int
    offset: int
    round: int
    store_id: str

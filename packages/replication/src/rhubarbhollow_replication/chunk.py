"""Messages that transfer a snapshot in bounded pieces."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Carry the bytes of an encoded snapshot from ``offset`` on."""

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
    """Ask for the bytes from ``offset`` on.

    ``round`` carries the follower's tag, see ``round_tag``.
    """

    term: int
    follower: str
    last_index: int
    offset: int
    round: int
    store_id: str

"""Union of the messages that replicas exchange."""

from __future__ import annotations

from typing import TypeAlias

from rhubarbhollow_replication.append import AppendReply, AppendRequest
from rhubarbhollow_replication.chunk import SnapshotChunk, SnapshotReply
from rhubarbhollow_replication.vote import VoteReply, VoteRequest

PeerMessage: TypeAlias = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
)

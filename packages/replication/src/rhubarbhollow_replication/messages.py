"""Union of the messages that replicas exchange."""

from __future__ import annotations

from typing import TypeAlias

from rhubarbhollow_replication.append import AppendReply, AppendRequest
from rhubarbhollow_replication.chunk import SnapshotChunk, SnapshotReply
from rhubarbhollow_replication.leave import LeaveRequest
from rhubarbhollow_replication.vote import VoteReply, VoteRequest

PeerMessage: TypeAlias = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | LeaveRequest
)


def sender_of(message: PeerMessage) -> str:
    """Return the member that a message says it comes from."""
    match message:
        case VoteRequest(candidate=name) | VoteReply(voter=name):
            return name
        case AppendRequest(leader=name) | SnapshotChunk(leader=name):
            return name
        case AppendReply(follower=name) | SnapshotReply(follower=name):
            return name
        case LeaveRequest(member=name):
            return name

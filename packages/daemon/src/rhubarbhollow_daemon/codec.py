"""The wire codec of a control instance, for every message."""

from __future__ import annotations

from typing import Final

from rhubarbhollow_daemon.messages import (
    NodesAnswer,
    NodesRequest,
    PeerHello,
    ProposeAnswer,
    ProposeRequest,
)
from rhubarbhollow_daemon.node_codec import NODE_MESSAGES
from rhubarbhollow_distribution.register_summary import RegisterSummary
from rhubarbhollow_replication.append import AppendReply, AppendRequest
from rhubarbhollow_replication.chunk import SnapshotChunk, SnapshotReply
from rhubarbhollow_replication.leave import LeaveRequest
from rhubarbhollow_replication.vote import VoteReply, VoteRequest
from rhubarbhollow_rollout.messages import RolloutSummary
from rhubarbhollow_wire.codec import MessageCodec

CODEC: Final = MessageCodec(
    (
        *NODE_MESSAGES,
        AppendReply,
        AppendRequest,
        LeaveRequest,
        NodesAnswer,
        NodesRequest,
        PeerHello,
        ProposeAnswer,
        ProposeRequest,
        RegisterSummary,
        RolloutSummary,
        SnapshotChunk,
        SnapshotReply,
        VoteReply,
        VoteRequest,
    )
)

"""The wire codec for every message between mesh processes."""

from __future__ import annotations

from typing import Final

from rhubarbhollow_calls.quarantine_message import CrashReport, Exoneration
from rhubarbhollow_daemon.messages import (
    BurnAnswer,
    BurnRequest,
    ClaimAnswer,
    ClaimRequest,
    EndpointsRequest,
    NodesAnswer,
    NodesRequest,
    PeerHello,
    ProposeAnswer,
    ProposeRequest,
)
from rhubarbhollow_distribution.activate import Activate
from rhubarbhollow_distribution.active_report import ActiveReport
from rhubarbhollow_distribution.control_heartbeat import ControlHeartbeat
from rhubarbhollow_distribution.control_list import ControlList
from rhubarbhollow_distribution.endpoint_change import EndpointChange
from rhubarbhollow_distribution.endpoint_report import EndpointReport
from rhubarbhollow_distribution.hello import Hello
from rhubarbhollow_distribution.node_heartbeat import NodeHeartbeat
from rhubarbhollow_distribution.redirect import Redirect
from rhubarbhollow_distribution.register_summary import RegisterSummary
from rhubarbhollow_distribution.stage import Stage
from rhubarbhollow_distribution.stage_request import StageRequest
from rhubarbhollow_distribution.staged_report import StagedReport
from rhubarbhollow_distribution.welcome import Welcome
from rhubarbhollow_replication.append import AppendReply, AppendRequest
from rhubarbhollow_replication.chunk import SnapshotChunk, SnapshotReply
from rhubarbhollow_replication.vote import VoteReply, VoteRequest
from rhubarbhollow_wire.codec import MessageCodec

CODEC: Final = MessageCodec(
    [
        Activate,
        ActiveReport,
        AppendReply,
        AppendRequest,
        BurnAnswer,
        BurnRequest,
        ClaimAnswer,
        ClaimRequest,
        ControlHeartbeat,
        ControlList,
        CrashReport,
        EndpointChange,
        EndpointReport,
        EndpointsRequest,
        Exoneration,
        Hello,
        NodeHeartbeat,
        NodesAnswer,
        NodesRequest,
        PeerHello,
        ProposeAnswer,
        ProposeRequest,
        Redirect,
        RegisterSummary,
        SnapshotChunk,
        SnapshotReply,
        Stage,
        StageRequest,
        StagedReport,
        VoteReply,
        VoteRequest,
        Welcome,
    ]
)

"""The wire codec of a node, for what it sends and receives.

It leaves out the messages between control instances, which a node need
not load.
"""

from __future__ import annotations

from typing import Final

from rhubarbhollow_calls.quarantine_message import CrashReport, Exoneration
from rhubarbhollow_daemon.node_messages import (
    BurnAnswer,
    BurnRequest,
    ClaimAnswer,
    ClaimRequest,
    EndpointsRequest,
)
from rhubarbhollow_distribution.activate import Activate
from rhubarbhollow_distribution.active_report import ActiveReport
from rhubarbhollow_distribution.control_heartbeat import ControlHeartbeat
from rhubarbhollow_distribution.control_list import ControlList
from rhubarbhollow_distribution.departure_messages import (
    DepartureAnswer,
    DepartureRequest,
)
from rhubarbhollow_distribution.endpoint_change import EndpointChange
from rhubarbhollow_distribution.endpoint_report import EndpointReport
from rhubarbhollow_distribution.hello import Hello
from rhubarbhollow_distribution.node_heartbeat import NodeHeartbeat
from rhubarbhollow_distribution.redirect import Redirect
from rhubarbhollow_distribution.stage import Stage
from rhubarbhollow_distribution.stage_request import StageRequest
from rhubarbhollow_distribution.staged_report import StagedReport
from rhubarbhollow_distribution.welcome import Welcome
from rhubarbhollow_placement.upstream_load import LoadReport
from rhubarbhollow_quota.messages import QuotaGrant, QuotaReport
from rhubarbhollow_rollout.messages import RolloutExposure, RolloutReport
from rhubarbhollow_wire.codec import MessageCodec

NODE_MESSAGES: Final = (
    Activate,
    ActiveReport,
    BurnAnswer,
    BurnRequest,
    ClaimAnswer,
    ClaimRequest,
    ControlHeartbeat,
    ControlList,
    CrashReport,
    DepartureAnswer,
    DepartureRequest,
    EndpointChange,
    EndpointReport,
    EndpointsRequest,
    Exoneration,
    Hello,
    LoadReport,
    NodeHeartbeat,
    QuotaGrant,
    QuotaReport,
    Redirect,
    RolloutExposure,
    RolloutReport,
    Stage,
    StageRequest,
    StagedReport,
    Welcome,
)
NODE_CODEC: Final = MessageCodec(NODE_MESSAGES)

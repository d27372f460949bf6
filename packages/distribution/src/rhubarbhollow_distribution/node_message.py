"""The union of messages that the node register and the feed accept.

A node also sends messages outside this union to a control instance.
"""

from __future__ import annotations

from typing import TypeAlias

from rhubarbhollow_distribution.active_report import ActiveReport
from rhubarbhollow_distribution.endpoint_report import EndpointReport
from rhubarbhollow_distribution.hello import Hello
from rhubarbhollow_distribution.node_heartbeat import NodeHeartbeat
from rhubarbhollow_distribution.stage_request import StageRequest
from rhubarbhollow_distribution.staged_report import StagedReport

NodeMessage: TypeAlias = (
    ActiveReport
    | EndpointReport
    | Hello
    | NodeHeartbeat
    | StageRequest
    | StagedReport
)

"""The parts of a node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_calls.io_node import CallNode
    from rhubarbhollow_calls.quarantine import Quarantine
    from rhubarbhollow_daemon.burn_recorder import BurnRecorder
    from rhubarbhollow_daemon.departure_client import DepartureClient
    from rhubarbhollow_daemon.local_upstreams import LocalUpstreams
    from rhubarbhollow_daemon.node_claims import NodeClaims
    from rhubarbhollow_daemon.node_quota import NodeQuota
    from rhubarbhollow_daemon.node_session import NodeSession
    from rhubarbhollow_daemon.node_state import NodeState
    from rhubarbhollow_daemon.outbox import Outbox
    from rhubarbhollow_daemon.refused_call_log import RefusedCallLog
    from rhubarbhollow_daemon.rollout_policy import RolloutPolicy
    from rhubarbhollow_daemon.settings import Settings
    from rhubarbhollow_distribution.source_choice import SourceChooser
    from rhubarbhollow_wire.clock import Clock
    from rhubarbhollow_wire.traffic import Traffic


@dataclass(frozen=True, slots=True)
class NodeParts:
    """Hold the parts of one node, built but not started."""

    settings: Settings
    clock: Clock
    call_node: CallNode
    state: NodeState
    chooser: SourceChooser
    session: NodeSession
    upstreams: LocalUpstreams
    outbox: Outbox
    traffic: Traffic
    claims: NodeClaims
    quarantine: Quarantine
    burn: BurnRecorder
    refused_call_log: RefusedCallLog
    quota: NodeQuota
    rollouts: RolloutPolicy
    departures: DepartureClient

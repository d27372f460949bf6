"""The components of a control instance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_daemon.activation_coordinator import (
        ActivationCoordinator,
    )
    from rhubarbhollow_daemon.claim_machine import ClaimMachine
    from rhubarbhollow_daemon.claim_service import ClaimService
    from rhubarbhollow_daemon.endpoint_exchange import EndpointExchange
    from rhubarbhollow_daemon.floor_file import FloorFile
    from rhubarbhollow_daemon.node_connections import NodeConnections
    from rhubarbhollow_daemon.peer_links import PeerLinks
    from rhubarbhollow_daemon.quota_service import QuotaService
    from rhubarbhollow_daemon.release_machine import ReleaseMachine
    from rhubarbhollow_daemon.rollout_coordinator import RolloutCoordinator
    from rhubarbhollow_daemon.stage_builder import StageBuilder
    from rhubarbhollow_distribution.control_directory import ControlDirectory
    from rhubarbhollow_distribution.endpoint_store import EndpointStore
    from rhubarbhollow_distribution.feed_settings import FeedSettings
    from rhubarbhollow_distribution.node_register import NodeRegister
    from rhubarbhollow_distribution.start_floor import StartFloor
    from rhubarbhollow_replication.replica import Replica
    from rhubarbhollow_wire.clock import Clock


@dataclass(frozen=True, slots=True)
class ClaimParts:
    """Hold the components of the claims' quorum log."""

    replica: Replica
    machine: ClaimMachine
    links: PeerLinks
    service: ClaimService


@dataclass(frozen=True, slots=True)
class ControlParts:
    """Hold the components of one control instance."""

    name: str
    data_centre: str
    clock: Clock
    replica: Replica
    machine: ReleaseMachine
    stages: StageBuilder
    store: EndpointStore
    register: NodeRegister
    node_connections: NodeConnections
    exchange: EndpointExchange
    activation_coordinator: ActivationCoordinator
    links: PeerLinks
    directory: ControlDirectory
    floor: StartFloor
    floor_file: FloorFile
    feed_settings: FeedSettings
    claims: ClaimParts | None
    quota: QuotaService
    rollouts: RolloutCoordinator

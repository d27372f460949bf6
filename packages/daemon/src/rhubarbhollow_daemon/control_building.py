"""Construction of a control instance's components from its settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import structlog
from result import Err, Ok, Result

from rhubarbhollow_daemon.activation_coordinator import ActivationCoordinator
from rhubarbhollow_daemon.claim_machine import ClaimMachine
from rhubarbhollow_daemon.claim_service import ClaimService
from rhubarbhollow_daemon.control_parts import ClaimParts, ControlParts
from rhubarbhollow_daemon.data_folder import (
    CLAIMS_FOLDER_NAME,
    LOG_FOLDER_NAME,
)
from rhubarbhollow_daemon.endpoint_exchange import EndpointExchange
from rhubarbhollow_daemon.floor_file import FloorFile
from rhubarbhollow_daemon.log_group import LogGroup
from rhubarbhollow_daemon.messages import PeerHello
from rhubarbhollow_daemon.node_connections import NodeConnections
from rhubarbhollow_daemon.peer_links import PeerLinks
from rhubarbhollow_daemon.quarantine_relay import QuarantineRelay
from rhubarbhollow_daemon.quota_service import QuotaService
from rhubarbhollow_daemon.release_machine import ReleaseMachine
from rhubarbhollow_daemon.rollout_coordinator import RolloutCoordinator
from rhubarbhollow_daemon.rollout_feed import RolloutFeed
from rhubarbhollow_daemon.stage_builder import StageBuilder
from rhubarbhollow_distribution.admission import AdmissionQueue
from rhubarbhollow_distribution.control_directory import ControlDirectory
from rhubarbhollow_distribution.endpoint_pacer import EndpointPacer
from rhubarbhollow_distribution.endpoint_store import EndpointStore
from rhubarbhollow_distribution.feed_settings import FeedSettings
from rhubarbhollow_distribution.node_register import NodeRegister
from rhubarbhollow_distribution.start_floor import StartFloor
from rhubarbhollow_distribution.welcome import Welcome
from rhubarbhollow_replication.replica import Replica
from rhubarbhollow_replication.settings import ReplicaSettings
from rhubarbhollow_replication.store import LogStore, set_aside
from rhubarbhollow_replication.store_fault import CorruptRecord, StoreFault
from rhubarbhollow_wire.clock import BootClock

if TYPE_CHECKING:
    from pathlib import Path
    from random import Random

    from rhubarbhollow_daemon.settings import Settings
    from rhubarbhollow_daemon.settings_control import ControlSettings
    from rhubarbhollow_wire.clock import Clock
    from rhubarbhollow_wire.traffic import Traffic

MAX_WAITING_NODES: Final = 1_024

_log = structlog.get_logger()


def build_control(
    settings: Settings,
    control: ControlSettings,
    incarnation: int,
    traffic: Traffic,
    clock: Clock,
    random: Random,
) -> Result[ControlParts, StoreFault]:
    """Open the data folder and wire the components to its logs.

    Fails with the store's fault if a log can be neither opened nor set
    aside.
    """
    opened = _open_store(control.data_folder / LOG_FOLDER_NAME)
    if isinstance(opened, Err):
        return opened
    directory = ControlDirectory(settings.controls)
    claims: ClaimParts | None = None
    if control.keeps_claims:
        built = _build_claims(
            settings,
            control,
            incarnation,
            directory,
            traffic,
            clock,
            random,
        )
        if isinstance(built, Err):
            return built
        claims = built.ok_value
    name = settings.instance.name
    hello = PeerHello(settings.mesh, name, incarnation, LogGroup.RELEASES)
    links = PeerLinks(hello, directory, traffic, random)
    machine = ReleaseMachine(settings.mesh, settings.trusted)
    replica = Replica(
        settings=_replica_settings(
            name, control, LogGroup.RELEASES, directory
        ),
        store=opened.ok_value,
        machine=machine,
        clock=clock,
        random=random,
        send=links.send,
    )
    store = EndpointStore(name, incarnation, clock)
    register = NodeRegister(
        name,
        settings.instance.data_centre,
        clock,
        settings.distribution.lease.total_seconds(),
    )
    feed_settings = FeedSettings(
        settings.distribution.coalescing.total_seconds(),
        settings.distribution.heartbeat.total_seconds(),
        settings.distribution.load.total_seconds(),
    )
    pacer = EndpointPacer(
        clock,
        feed_settings.coalescing_seconds,
        feed_settings.load_seconds,
    )
    exchange = EndpointExchange(name, store, links, clock, pacer)
    rollouts = RolloutCoordinator(
        name, incarnation, machine, replica, links, clock
    )
    floor_file = FloorFile(control.data_folder)
    if floor_file.is_damaged:
        _log.error("floor_file_damaged", folder=str(control.data_folder))
    return Ok(
        ControlParts(
            name=name,
            data_centre=settings.instance.data_centre,
            clock=clock,
            replica=replica,
            machine=machine,
            stages=StageBuilder(machine),
            store=store,
            register=register,
            node_connections=NodeConnections(
                Welcome(name, settings.instance.data_centre, incarnation),
                register,
                _admission(control, clock, random),
                store,
                exchange,
                QuarantineRelay(clock),
                links,
                clock,
                settings.distribution.lease.total_seconds(),
                directory,
                RolloutFeed(machine, replica, clock),
                rollouts,
            ),
            exchange=exchange,
            activation_coordinator=ActivationCoordinator(
                (address.name for address in settings.controls),
                machine,
                replica,
                clock,
                control.staging_deadline.total_seconds(),
            ),
            links=links,
            directory=directory,
            floor=StartFloor(floor_file.position),
            floor_file=floor_file,
            feed_settings=feed_settings,
            claims=claims,
            quota=QuotaService(
                name,
                incarnation,
                replica,
                machine,
                links,
                BootClock(),
                settings.quota_tolerance,
            ),
            rollouts=rollouts,
        )
    )


def _build_claims(
    settings: Settings,
    control: ControlSettings,
    incarnation: int,
    directory: ControlDirectory,
    traffic: Traffic,
    clock: Clock,
    random: Random,
) -> Result[ClaimParts, StoreFault]:
    opened = _open_store(control.data_folder / CLAIMS_FOLDER_NAME)
    if isinstance(opened, Err):
        return opened
    name = settings.instance.name
    hello = PeerHello(settings.mesh, name, incarnation, LogGroup.CLAIMS)
    links = PeerLinks(hello, directory, traffic, random)
    machine = ClaimMachine()
    replica = Replica(
        settings=_replica_settings(name, control, LogGroup.CLAIMS, directory),
        store=opened.ok_value,
        machine=machine,
        clock=clock,
        random=random,
        send=links.send,
    )
    service = ClaimService(machine, replica, links, clock)
    return Ok(ClaimParts(replica, machine, links, service))


def _open_store(folder: Path) -> Result[LogStore, StoreFault]:
    """Open a store; set a corrupt one aside and start with a new one.

    The instance then rejoins the log as a learner.
    """
    folder.parent.mkdir(parents=True, exist_ok=True)
    opened = LogStore.open(folder)
    if isinstance(opened, Err) and isinstance(opened.err_value, CorruptRecord):
        set_aside(folder)
        return LogStore.open(folder)
    return opened


def _replica_settings(
    name: str,
    control: ControlSettings,
    group: LogGroup,
    directory: ControlDirectory,
) -> ReplicaSettings:
    return ReplicaSettings(
        name=name,
        initial_members=control.members,
        election_timeout_ms=round(
            control.election_timeout.total_seconds() * 1000
        ),
        heartbeat_ms=round(control.heartbeat.total_seconds() * 1000),
        snapshot_after_entries=control.snapshot_after_entries,
        may_form_cluster=control.may_form,
        wanted_voters=control.wanted_voters,
        repair_after_seconds=control.repair_after.total_seconds(),
        log_name=group.name.lower(),
        place_of=directory.data_centre_of,
    )


def _admission(
    control: ControlSettings,
    clock: Clock,
    random: Random,
) -> AdmissionQueue:
    return AdmissionQueue(
        rate=control.admission_per_second,
        burst=max(1, round(control.admission_per_second / 4)),
        limit=MAX_WAITING_NODES,
        clock=clock,
        random=random,
    )

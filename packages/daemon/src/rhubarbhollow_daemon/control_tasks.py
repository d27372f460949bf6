"""Start of a control instance's tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio

from rhubarbhollow_daemon.burn_collection import BurnCollection
from rhubarbhollow_daemon.control_handlers import ControlHandlers
from rhubarbhollow_daemon.control_instance import ControlInstance
from rhubarbhollow_daemon.control_listener import ControlListener
from rhubarbhollow_daemon.departure_service import DepartureService
from rhubarbhollow_daemon.document_relay import DocumentRelay
from rhubarbhollow_daemon.document_service import DocumentService
from rhubarbhollow_daemon.fleet import Fleet
from rhubarbhollow_daemon.leader_relay import LeaderRelay
from rhubarbhollow_daemon.load_relay import LoadRelay
from rhubarbhollow_daemon.log_group import LogGroup
from rhubarbhollow_daemon.membership_manager import MembershipManager
from rhubarbhollow_daemon.peer_dispatch import PeerDispatcher
from rhubarbhollow_daemon.release_log import ReleaseLog
from rhubarbhollow_daemon.rollout_handlers import RolloutHandlers
from rhubarbhollow_daemon.rollout_orders import RolloutOrders
from rhubarbhollow_daemon.submission import SubmissionService

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from rhubarbhollow_daemon.control_parts import ControlParts
    from rhubarbhollow_daemon.document_format import DocumentFormat
    from rhubarbhollow_daemon.http_server import AdminApplication
    from rhubarbhollow_daemon.peer_links import PeerLinks
    from rhubarbhollow_daemon.settings import Settings
    from rhubarbhollow_daemon.settings_listen import ListenSettings
    from rhubarbhollow_replication.replica import Replica
    from rhubarbhollow_wire.traffic import Traffic

LISTEN_BACKLOG: Final = 1_024


def start_control(
    settings: Settings,
    parts: ControlParts,
    application: AdminApplication,
    served_traffic: Traffic,
    peer_traffic: Traffic,
    group: TaskGroup,
    document_format: DocumentFormat | None = None,
) -> DocumentRelay | None:
    """Start every task of a control instance in ``group``.

    Returns the relay of documents, or ``None`` without a document
    format.
    """
    burn = BurnCollection(parts)
    loads = LoadRelay(parts.data_centre, parts.node_connections)
    log = ReleaseLog(parts.replica, parts.machine, parts.links)
    departures = DepartureService(log, parts.machine)
    instance = ControlInstance(parts, burn, loads, departures)
    submissions = SubmissionService(parts.machine, parts.replica)
    relay = LeaderRelay(
        parts.name,
        parts.replica,
        submissions,
        parts.links,
        parts.clock,
    )
    fleet = Fleet(parts)
    documents = _build_documents(settings, parts, document_format, log)
    dispatcher = PeerDispatcher(
        parts, instance, relay, fleet, burn, group, log
    )
    listener = ControlListener(
        settings.mesh,
        served_traffic,
        peer_traffic,
        instance.serve_node,
        dispatcher.dispatch,
    )
    handlers = ControlHandlers(settings, parts, relay, fleet, burn)
    handlers.register(application)
    orders = RolloutOrders(log, parts.machine, parts.clock)
    RolloutHandlers(orders).register(application)
    _start_logs(parts, group)
    group.start_soon(instance.run)
    group.start_soon(loads.run)
    group.start_soon(parts.quota.run)
    group.start_soon(_listen, settings.listen, listener)
    return documents


def _build_documents(
    settings: Settings,
    parts: ControlParts,
    document_format: DocumentFormat | None,
    log: ReleaseLog,
) -> DocumentRelay | None:
    if document_format is None:
        return None
    documents = DocumentService(
        settings.mesh, parts.machine, log, document_format
    )
    return DocumentRelay(
        log, parts.machine, documents, document_format, parts.clock
    )


def _start_logs(parts: ControlParts, group: TaskGroup) -> None:
    _start_log(LogGroup.RELEASES, parts.replica, parts.links, group)
    claims = parts.claims
    if claims is not None:
        _start_log(LogGroup.CLAIMS, claims.replica, claims.links, group)
        group.start_soon(claims.service.expire)


def _start_log(
    log_group: LogGroup,
    replica: Replica,
    links: PeerLinks,
    group: TaskGroup,
) -> None:
    group.start_soon(replica.run)
    group.start_soon(links.run)
    group.start_soon(MembershipManager(log_group, links, replica).run)


async def _listen(
    settings: ListenSettings,
    listener: ControlListener,
) -> None:
    multi = await anyio.create_tcp_listener(
        local_host=settings.host,
        local_port=settings.control_port or 0,
        backlog=LISTEN_BACKLOG,
    )
    await listener.run(multi)

"""Construction of a node from its settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.io_node import CallNode
from rhubarbhollow_calls.io_settings import CallSettings
from rhubarbhollow_calls.quarantine import Quarantine
from rhubarbhollow_calls.upstream_selector import UpstreamSelector
from rhubarbhollow_daemon.burn_recorder import BurnRecorder
from rhubarbhollow_daemon.call_observer import NodeCallObserver
from rhubarbhollow_daemon.claim_client import ClaimClient
from rhubarbhollow_daemon.decision_log import DecisionLog
from rhubarbhollow_daemon.departure_client import DepartureClient
from rhubarbhollow_daemon.endpoint_view import EndpointView
from rhubarbhollow_daemon.local_upstreams import LocalUpstreams
from rhubarbhollow_daemon.node_claims import NodeClaims
from rhubarbhollow_daemon.node_parts import NodeParts
from rhubarbhollow_daemon.node_quota import NodeQuota
from rhubarbhollow_daemon.node_session import NodeSession
from rhubarbhollow_daemon.node_state import NodeState
from rhubarbhollow_daemon.outbox import Outbox
from rhubarbhollow_daemon.refused_call_log import RefusedCallLog
from rhubarbhollow_daemon.rollout_policy import RolloutPolicy
from rhubarbhollow_distribution.endpoint_table import EndpointTable
from rhubarbhollow_distribution.holder import ReleaseHolder
from rhubarbhollow_distribution.source_choice import SourceChooser
from rhubarbhollow_distribution.upstream_registry import UpstreamRegistry
from rhubarbhollow_rollout.node import NodeRollouts
from rhubarbhollow_wire.clock import BootClock
from rhubarbhollow_wire.traffic import Traffic

if TYPE_CHECKING:
    from random import Random

    from rhubarbhollow_daemon.settings import Settings
    from rhubarbhollow_daemon.settings_calls import CallsSettings
    from rhubarbhollow_wire.clock import Clock

MS_PER_SECOND: Final = 1000
# A source counts as silent after this many heartbeat intervals or
# later, so that a single lost heartbeat does not count as silence.
SILENT_HEARTBEATS: Final = 3


def build_node(
    settings: Settings,
    incarnation: int,
    clock: Clock,
    random: Random,
) -> NodeParts:
    """Build the parts of a node without starting any task."""
    name = settings.instance.name
    data_centre = settings.instance.data_centre
    outbox = Outbox()
    selector = UpstreamSelector(data_centre, clock, random)
    registry = UpstreamRegistry(
        node=name,
        data_centre=data_centre,
        peer_host=settings.advertise_host,
        peer_port=settings.listen.peer_port,
        incarnation=incarnation,
        clock=clock,
    )
    heartbeat_seconds = settings.distribution.heartbeat.total_seconds()
    chooser = SourceChooser(
        data_centre,
        settings.controls,
        clock,
        random,
        max(
            settings.distribution.silence.total_seconds(),
            SILENT_HEARTBEATS * heartbeat_seconds,
        ),
        settings.distribution.return_after.total_seconds(),
        settings.distribution.reconnect_cap.total_seconds(),
    )
    quarantine = Quarantine(clock)
    burn = BurnRecorder(clock)
    refused_call_log = RefusedCallLog()
    rollouts = RolloutPolicy(
        NodeRollouts(clock, random), selector, outbox, clock
    )
    selector.use_versions(rollouts)
    client = ClaimClient(name, incarnation, outbox)
    quota = NodeQuota(
        name, incarnation, outbox, BootClock(), settings.quota_tolerance
    )
    claims = NodeClaims(client)
    departures = DepartureClient(outbox)
    state = NodeState(
        settings.mesh,
        name,
        data_centre,
        incarnation,
        ReleaseHolder(settings.mesh, settings.trusted, clock),
        EndpointTable(clock),
        EndpointView(selector, clock),
        registry,
        chooser,
        outbox,
        quarantine,
        client,
        burn,
        quota,
        rollouts,
        departures,
    )
    call_node = CallNode(
        name,
        data_centre,
        selector,
        clock,
        state.observe_position,
        _build_call_settings(settings.calls),
        quarantine,
        outbox.put,
        claims,
        NodeCallObserver(burn, refused_call_log, clock, DecisionLog(clock)),
        is_release_confirmed=state.is_release_confirmed,
        quota=quota.port,
        is_release_current=state.is_release_current,
    )
    state.attach(call_node)
    traffic = Traffic(data_centre)
    return NodeParts(
        settings=settings,
        clock=clock,
        call_node=call_node,
        state=state,
        chooser=chooser,
        session=NodeSession(
            state,
            chooser,
            outbox,
            traffic,
            heartbeat_seconds,
        ),
        upstreams=LocalUpstreams(
            name,
            incarnation,
            registry,
            call_node,
            outbox,
        ),
        outbox=outbox,
        traffic=traffic,
        claims=claims,
        quarantine=quarantine,
        burn=burn,
        rollouts=rollouts,
        departures=departures,
        refused_call_log=refused_call_log,
        quota=quota,
    )


def _build_call_settings(calls: CallsSettings) -> CallSettings:
    return CallSettings(
        queue_limit=calls.queue_limit,
        connect_timeout_seconds=calls.connect_timeout.total_seconds(),
        head_timeout_seconds=round(calls.head_timeout.total_seconds()),
        unacknowledged_ms=round(
            calls.unacknowledged.total_seconds() * MS_PER_SECOND
        ),
        dialect=calls.dialect,
        origin=calls.origin.encode(),
    )

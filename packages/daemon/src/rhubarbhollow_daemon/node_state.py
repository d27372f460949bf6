"""A node's state and its handling of control messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from result import Err, Ok

from rhubarbhollow_calls.io_position import PositionCheck as CallPositionCheck
from rhubarbhollow_calls.quarantine_message import CrashReport, Exoneration
from rhubarbhollow_daemon.node_messages import (
    BurnAnswer,
    BurnRequest,
    ClaimAnswer,
    EndpointsRequest,
)
from rhubarbhollow_daemon.route_building import (
    SnapshotBuilder,
    find_latency_objectives,
)
from rhubarbhollow_distribution.activate import Activate
from rhubarbhollow_distribution.activation_result import (
    Activated,
    AlreadyActive,
)
from rhubarbhollow_distribution.active_report import ActiveReport
from rhubarbhollow_distribution.control_address import is_usable
from rhubarbhollow_distribution.control_heartbeat import ControlHeartbeat
from rhubarbhollow_distribution.control_list import ControlList
from rhubarbhollow_distribution.departure_messages import DepartureAnswer
from rhubarbhollow_distribution.endpoint_change import (
    EndpointChange,
    leave_out_unusable,
)
from rhubarbhollow_distribution.hello import Hello
from rhubarbhollow_distribution.position_check import PositionCheck
from rhubarbhollow_distribution.stage import Stage
from rhubarbhollow_distribution.stage_fault import NeedsDifference
from rhubarbhollow_distribution.stage_request import StageRequest
from rhubarbhollow_placement.upstream_load import LoadReport
from rhubarbhollow_placement.upstream_load import is_usable as is_usable_load
from rhubarbhollow_quota.messages import QuotaGrant
from rhubarbhollow_rollout.messages import RolloutExposure

if TYPE_CHECKING:
    from rhubarbhollow_calls.io_node import CallNode
    from rhubarbhollow_calls.quarantine import Quarantine
    from rhubarbhollow_calls.quarantine_message import QuarantineMessage
    from rhubarbhollow_daemon.burn_recorder import BurnRecorder
    from rhubarbhollow_daemon.claim_client import ClaimClient
    from rhubarbhollow_daemon.departure_client import DepartureClient
    from rhubarbhollow_daemon.endpoint_view import EndpointView
    from rhubarbhollow_daemon.node_quota import NodeQuota
    from rhubarbhollow_daemon.outbox import Outbox
    from rhubarbhollow_daemon.rollout_policy import RolloutPolicy
    from rhubarbhollow_distribution.endpoint_record import EndpointRecord
    from rhubarbhollow_distribution.endpoint_table import EndpointTable
    from rhubarbhollow_distribution.holder import ReleaseHolder
    from rhubarbhollow_distribution.source_choice import SourceChooser
    from rhubarbhollow_distribution.upstream_registry import UpstreamRegistry

_log = structlog.get_logger()


class NodeState:
    """Apply control messages to the releases, endpoints and calls.

    No method awaits, so the release in force changes only between two
    steps of a call, never within one.
    """

    def __init__(
        self,
        mesh: str,
        node: str,
        data_centre: str,
        incarnation: int,
        holder: ReleaseHolder,
        endpoints: EndpointTable,
        view: EndpointView,
        registry: UpstreamRegistry,
        chooser: SourceChooser,
        outbox: Outbox,
        quarantine: Quarantine,
        claims: ClaimClient,
        burn: BurnRecorder,
        quota: NodeQuota,
        rollouts: RolloutPolicy,
        departures: DepartureClient,
    ) -> None:
        self._mesh = mesh
        self._node = node
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._holder = holder
        self._endpoints = endpoints
        self._view = view
        self._registry = registry
        self._chooser = chooser
        self._outbox = outbox
        self._quarantine = quarantine
        self._claims = claims
        self._burn = burn
        self._quota = quota
        self._rollouts = rollouts
        self._departures = departures
        self._call_node: CallNode | None = None
        self._failed_releases = 0
        self._snapshots = SnapshotBuilder()

    @property
    def holder(self) -> ReleaseHolder:
        """Return the holder of this node's releases."""
        return self._holder

    @property
    def failed_releases(self) -> int:
        """Return how many releases could not be applied to calls.

        The one before such a release stays in force.
        """
        return self._failed_releases

    @property
    def endpoint_records(self) -> tuple[EndpointRecord, ...]:
        """Return the records of the upstreams beside this node."""
        return self._registry.records

    @property
    def endpoints(self) -> EndpointTable:
        """Return the table of the mesh's endpoints."""
        return self._endpoints

    @property
    def crash_evidence(self) -> tuple[QuarantineMessage, ...]:
        """Return the messages on requests that crash upstreams."""
        return self._quarantine.messages()

    def report_rollouts(self) -> None:
        """Report evidence about new versions while a rollout runs."""
        self._rollouts.report()

    def is_release_confirmed(self) -> bool:
        """Return whether no later release may be in force elsewhere."""
        return self._chooser.is_confirmed(self._holder.active_position)

    def is_release_current(self) -> bool:
        """Return whether no later release can be in force elsewhere."""
        return self._chooser.is_current(self._holder.active_position)

    def attach(self, call_node: CallNode) -> None:
        """Install releases in ``call_node`` from now on."""
        self._call_node = call_node

    def expect_endpoints_from(self, source: str) -> None:
        """Accept endpoint changes only from ``source``."""
        self._endpoints.expect(source)

    def raise_incarnation(self, incarnation: int) -> None:
        """Use ``incarnation`` if it is higher than the current one.

        A control instance assigns a higher one if it knows a later
        incarnation of this node, whose clock is then behind.
        """
        if incarnation <= self._incarnation:
            return
        _log.warning(
            "incarnation_raised",
            own=self._incarnation,
            raised_to=incarnation,
        )
        self._incarnation = incarnation
        self._registry.raise_incarnation(incarnation)
        self._quota.raise_incarnation(incarnation)

    def set_connected(self, is_connected: bool) -> None:
        """Note whether a control instance has welcomed this node."""
        self._quota.set_connected(is_connected)
        self._departures.set_connected(is_connected)

    def hello(self) -> Hello:
        """Return the first message to send on a new connection."""
        return Hello(
            mesh=self._mesh,
            node=self._node,
            data_centre=self._data_centre,
            incarnation=self._incarnation,
            active_position=self._holder.active_position,
            active_digest=self._holder.active_digest,
            staged_position=self._holder.staged_position,
            endpoints_source=self._endpoints.source,
            endpoints_version=self._endpoints.version,
        )

    def handle_message(self, message: object) -> None:
        """Handle a message from the control instance."""
        match message:
            case Stage():
                self._stage(message)
            case Activate(position, digest):
                self._activate(position, digest)
            case EndpointChange():
                self._change_endpoints(message)
            case BurnRequest(request_id):
                answer = BurnAnswer(request_id, self._burn.counts())
                self._outbox.put(answer)
            case ClaimAnswer():
                self._claims.deliver(message)
            case DepartureAnswer():
                self._departures.deliver(message)
            case ControlList(controls):
                self._chooser.take_list(filter(is_usable, controls))
            case RolloutExposure():
                self._rollouts.accept(message)
            case ControlHeartbeat():
                self._chooser.note_heartbeat(message)
            case _:
                self._handle_shared_state(message)

    def _handle_shared_state(self, message: object) -> None:
        """Handle what other nodes contribute to, for calls."""
        match message:
            case CrashReport() | Exoneration():
                self._quarantine.merge(message)
            case QuotaGrant():
                self._quota.handle_grant(message)
            case LoadReport(loads):
                self._view.report_loads(filter(is_usable_load, loads))
            case _:
                _log.warning(
                    "control_message_unexpected",
                    message=type(message).__name__,
                )

    def observe_position(
        self,
        position: int,
        *,
        is_hint: bool = False,
    ) -> CallPositionCheck:
        """Activate the release at a call's position if it is staged.

        A later position that is not staged shows that the source is
        behind, but only if it comes from a node: with ``is_hint`` it
        comes from a caller, which may have made it up.
        """
        match self._holder.observe_position(position):
            case PositionCheck.CURRENT:
                return CallPositionCheck.CURRENT
            case PositionCheck.ACTIVATED:
                self._put_in_force()
                return CallPositionCheck.ACTIVATED
            case PositionCheck.BEHIND:
                if not is_hint:
                    self._chooser.note_observed(position)
                return CallPositionCheck.BEHIND

    def _stage(self, message: Stage) -> None:
        self._chooser.note_source_position(message.position)
        match self._holder.stage(message):
            case Ok(report):
                self._outbox.put(report)
            case Err(NeedsDifference(position, digest)):
                self._outbox.put(StageRequest(position, digest))
            case Err(fault):
                _log.error(
                    "release_refused",
                    position=message.position,
                    fault=repr(fault),
                )

    def _activate(self, position: int, digest: bytes) -> None:
        match self._holder.activate(position, digest):
            case Ok(Activated()):
                self._put_in_force()
            case Ok(AlreadyActive(active)):
                self._outbox.put(ActiveReport(active))
            case Err(fault):
                _log.warning(
                    "activation_refused",
                    position=position,
                    fault=repr(fault),
                )
                self._outbox.put(
                    StageRequest(
                        self._holder.staged_position,
                        self._holder.held_digest,
                    ),
                )

    def _put_in_force(self) -> None:
        active = self._holder.active
        if active is None or self._call_node is None:
            return
        try:
            snapshot = self._snapshots.build(active)
            objectives = find_latency_objectives(active)
        except Exception:
            # Every node gets the same release, so this would end them
            # all, and again at each start.
            self._failed_releases += 1
            _log.exception(
                "release_not_applied",
                position=active.position,
                version=active.version,
            )
            return
        self._call_node.install(snapshot)
        self._quota.install(snapshot.tenants)
        self._burn.set_objectives(objectives)
        self._outbox.put(ActiveReport(active.position))
        _log.info(
            "release_in_force",
            position=active.position,
            version=active.version,
            digest=active.digest.hex(),
            tenants=len(active.manifest.tenants),
            requires_keys=active.manifest.requires_keys,
        )

    def _change_endpoints(self, change: EndpointChange) -> None:
        usable = leave_out_unusable(change)
        if usable is not change:
            _log.warning("endpoint_records_refused", source=change.source)
        match self._endpoints.apply(usable):
            case Ok(changed):
                self._view.update(changed)
            case Err(fault):
                _log.warning("endpoints_refused", fault=repr(fault))
                self._outbox.put(EndpointsRequest(self._node))

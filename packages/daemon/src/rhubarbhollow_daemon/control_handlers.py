"""HTTP handlers of a control instance for operators."""

from __future__ import annotations

from dataclasses import asdict
from http import HTTPStatus
from typing import TYPE_CHECKING

from result import Err

from rhubarbhollow_daemon.burn_view import BurnDocument, build_burn_report
from rhubarbhollow_daemon.http_response import (
    HttpResponse,
    answer_json,
    answer_problem,
)
from rhubarbhollow_daemon.own_version import own_version
from rhubarbhollow_daemon.views import (
    MemberView,
    NodesView,
    ReleasesView,
    ReleaseView,
    StatusView,
)
from rhubarbhollow_release.resource_kind import ResourceKind
from rhubarbhollow_release.resource_set import join_resources
from rhubarbhollow_release.tenant_entry import TenantEntry

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rhubarbhollow_daemon.burn_collection import BurnCollection
    from rhubarbhollow_daemon.control_parts import ControlParts
    from rhubarbhollow_daemon.fleet import Fleet
    from rhubarbhollow_daemon.http_request import HttpRequest
    from rhubarbhollow_daemon.http_server import AdminApplication
    from rhubarbhollow_daemon.leader_relay import LeaderRelay
    from rhubarbhollow_daemon.settings import Settings
    from rhubarbhollow_release.manifest_fault import ManifestFaults
    from rhubarbhollow_release.resource import Resource


class UnjoinableReleaseError(Exception):
    """An accepted release has references that do not resolve."""

    def __init__(self, faults: ManifestFaults) -> None:
        super().__init__(faults)
        self.faults = faults


class ControlHandlers:
    """Serve releases, nodes, burn rates and the instance's status."""

    def __init__(
        self,
        settings: Settings,
        parts: ControlParts,
        relay: LeaderRelay,
        fleet: Fleet,
        burn: BurnCollection,
    ) -> None:
        self._settings = settings
        self._parts = parts
        self._relay = relay
        self._fleet = fleet
        self._burn = burn

    def register(self, application: AdminApplication) -> None:
        """Register these handlers with the admin port."""
        position = "(?P<position>[0-9]{1,18})"
        add = application.add
        add("POST", "/v1/releases", self.submit)
        add("GET", "/v1/releases", self.list_releases)
        add("GET", f"/v1/releases/{position}/manifest", self.show_manifest)
        add("GET", "/v1/nodes", self.list_nodes)
        add("GET", "/v1/burn", self.show_burn)
        add("GET", "/v1/status", self.show_status)

    async def submit(
        self,
        request: HttpRequest,
        _: Mapping[str, str],
    ) -> HttpResponse:
        """Submit an approved release to the leader."""
        return await self._relay.submit(request.body)

    async def list_releases(
        self,
        _: HttpRequest,
        __: Mapping[str, str],
    ) -> HttpResponse:
        """List the accepted releases that the ledger retains."""
        ledger = self._parts.machine.ledger
        active = ledger.active_position
        views = tuple(
            ReleaseView(
                position=record.position,
                version=record.version,
                digest=record.digest.hex(),
                key_id=record.key_id,
                state=_state(record.position, active),
            )
            for record in ledger.records
        )
        return answer_json(asdict(ReleasesView(views)))

    async def show_manifest(
        self,
        _: HttpRequest,
        arguments: Mapping[str, str],
    ) -> HttpResponse:
        """Return the canonical manifest of a release."""
        position = int(arguments["position"])
        resources = self._parts.machine.ledger.resources_at(position)
        if resources is None:
            return answer_problem(
                "unknown_release",
                HTTPStatus.NOT_FOUND,
                f"no manifest is retained for position {position}",
            )
        if any(map(_may_hold_keys, resources.resources)):
            return answer_problem(
                "holds_keys",
                HTTPStatus.FORBIDDEN,
                "the annotations of tenants may hold keys and are not shown",
            )
        return HttpResponse(HTTPStatus.OK, resources.canonical())

    async def list_nodes(
        self,
        _: HttpRequest,
        __: Mapping[str, str],
    ) -> HttpResponse:
        """List the nodes of every control instance that answers."""
        nodes = await self._fleet.collect()
        return answer_json(asdict(NodesView(nodes)))

    async def show_burn(
        self,
        _: HttpRequest,
        __: Mapping[str, str],
    ) -> HttpResponse:
        """Return how fast services consume their error budgets."""
        counts = await self._burn.collect()
        active = self._parts.machine.ledger.active
        if active is None:
            return answer_json(asdict(BurnDocument(0, 0, ())))
        joined = join_resources(active.resources)
        if isinstance(joined, Err):
            raise UnjoinableReleaseError(joined.err_value)
        nodes = self.status().nodes_known
        document = build_burn_report(
            joined.ok_value,
            active.position,
            nodes,
            counts,
        )
        return answer_json(asdict(document))

    async def show_status(
        self,
        _: HttpRequest,
        __: Mapping[str, str],
    ) -> HttpResponse:
        """Return the status of this instance and of the fleet."""
        return answer_json(asdict(self.status()))

    def status(self) -> StatusView:
        """Collect the status of this instance and of the fleet."""
        parts = self._parts
        ledger = parts.machine.ledger
        replica = parts.replica.status
        active = ledger.active
        summaries = parts.activation_coordinator.summaries
        in_force = sum(
            entry.count
            for summary in summaries
            for entry in summary.in_force
            if entry.position >= ledger.active_position
        )
        return StatusView(
            instance=parts.name,
            data_centre=parts.data_centre,
            mesh=self._settings.mesh,
            is_control=True,
            role=replica.role.value,
            term=replica.term,
            leader=replica.leader,
            is_fresh=replica.is_fresh,
            latest_position=ledger.latest_position,
            active_position=ledger.active_position,
            active_version=active.approval.version if active else 0,
            active_digest=active.resources.digest.hex() if active else "",
            nodes_known=sum(summary.live_nodes for summary in summaries),
            nodes_in_force=in_force,
            members=tuple(
                MemberView(
                    member.name,
                    member.role.name.lower(),
                    member.match_index,
                )
                for member in replica.members
            ),
            version=own_version(),
        )


def _state(position: int, active_position: int) -> str:
    if position == active_position:
        return "in_force"
    return "accepted" if position > active_position else "past"


def _may_hold_keys(resource: Resource) -> bool:
    """Return whether a resource's annotation may hold keys."""
    if resource.kind is not ResourceKind.TENANT:
        return False
    item = resource.item.unwrap()
    return isinstance(item, TenantEntry) and bool(item.annotation)

"""What every process serves on its admin port."""

from __future__ import annotations

from dataclasses import asdict
from http import HTTPStatus
from typing import TYPE_CHECKING

from result import Err

from rhubarbhollow_daemon.http_response import (
    HttpResponse,
    answer_json,
    answer_problem,
)
from rhubarbhollow_daemon.views import (
    StatusView,
    UpstreamsView,
    UpstreamView,
)
from rhubarbhollow_distribution.announcement import (
    Announcement,
    AnnouncementFaults,
    read_announcement,
)
from rhubarbhollow_distribution.endpoint_record import EndpointState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from rhubarbhollow_daemon.http_request import HttpRequest
    from rhubarbhollow_daemon.http_server import AdminApplication
    from rhubarbhollow_daemon.metrics import Metrics
    from rhubarbhollow_daemon.node_parts import NodeParts
    from rhubarbhollow_daemon.reading import Reading
    from rhubarbhollow_distribution.endpoint_record import EndpointRecord


class NodeHandlers:
    """Serve announcements, metrics and health."""

    def __init__(
        self,
        parts: NodeParts,
        metrics: Metrics,
        read_all: Callable[[], Iterable[Reading]],
    ) -> None:
        self._parts = parts
        self._metrics = metrics
        self._read_all = read_all

    def register(self, application: AdminApplication) -> None:
        """Add these handlers to the admin port."""
        name = "(?P<name>[^/]+)"
        add = application.add
        add("POST", "/v1/announcements", self.announce)
        add("DELETE", f"/v1/announcements/{name}", self.withdraw)
        add("GET", "/v1/upstreams", self.list_upstreams)
        add("GET", "/metrics", self.show_metrics)
        add("GET", "/healthz", self.show_health)
        add("GET", "/readyz", self.show_readiness)

    async def announce(
        self,
        request: HttpRequest,
        _: Mapping[str, str],
    ) -> HttpResponse:
        """List the upstream beside this node, or renew its lease."""
        document = request.json_object()
        if isinstance(document, Err):
            return answer_problem(
                "bad_request",
                HTTPStatus.BAD_REQUEST,
                document.err_value.detail,
            )
        read = read_announcement(document.ok_value)
        if isinstance(read, Err):
            return _announcement_problem(read.err_value)
        announcement = read.ok_value
        if self._is_other_upstream_here(announcement):
            return answer_problem(
                "upstream_present",
                HTTPStatus.CONFLICT,
                "another upstream is announced beside this node",
            )
        listed = self._parts.upstreams.announce(announcement)
        if isinstance(listed, Err):
            return answer_problem(
                "too_many_upstreams",
                HTTPStatus.CONFLICT,
                f"a node has {listed.err_value.limit} upstreams at most",
            )
        return answer_json({"lease_seconds": announcement.lease.seconds})

    async def withdraw(
        self,
        _: HttpRequest,
        arguments: Mapping[str, str],
    ) -> HttpResponse:
        """Take an upstream off the list."""
        withdrawn = self._parts.upstreams.withdraw(arguments["name"])
        if isinstance(withdrawn, Err):
            return answer_problem(
                "unknown_upstream",
                HTTPStatus.NOT_FOUND,
                "no upstream of that name is announced here",
            )
        return answer_json({"withdrawn": arguments["name"]})

    async def list_upstreams(
        self,
        _: HttpRequest,
        __: Mapping[str, str],
    ) -> HttpResponse:
        """List every upstream that this node knows."""
        records = self._parts.state.endpoints.records
        view = UpstreamsView(tuple(_upstream(record) for record in records))
        return answer_json(asdict(view))

    async def show_metrics(
        self,
        _: HttpRequest,
        __: Mapping[str, str],
    ) -> HttpResponse:
        """Answer with all metrics."""
        return self._metrics.render(self._read_all())

    async def show_health(
        self,
        _: HttpRequest,
        __: Mapping[str, str],
    ) -> HttpResponse:
        """Answer while the process reacts at all."""
        return answer_json({"status": "ok"})

    async def show_readiness(
        self,
        _: HttpRequest,
        __: Mapping[str, str],
    ) -> HttpResponse:
        """Answer whether calls can be routed from here now."""
        call_node = self._parts.call_node
        if call_node.is_draining:
            return _not_ready("draining")
        if call_node.snapshot is None:
            return _not_ready("no_release")
        return answer_json({"status": "ready"})

    def status(self) -> StatusView:
        """Return the status of a node that is no control instance."""
        parts = self._parts
        view = parts.state.holder.explain()
        settings = parts.settings
        return StatusView(
            instance=settings.instance.name,
            data_centre=settings.instance.data_centre,
            mesh=settings.mesh,
            is_control=False,
            role=None,
            term=0,
            leader=None,
            is_fresh=parts.session.is_connected,
            latest_position=max(
                view.staged_positions,
                default=view.active_position,
            ),
            active_position=view.active_position,
            active_version=view.active_version,
            active_digest=view.active_digest.hex(),
            nodes_known=0,
            nodes_in_force=0,
            members=(),
            version=parts.version,
        )

    def _is_other_upstream_here(self, announcement: Announcement) -> bool:
        return any(
            listed.name != announcement.name and not listed.is_leaving
            for listed in self._parts.upstreams.announcements
        )


def _upstream(record: EndpointRecord) -> UpstreamView:
    return UpstreamView(
        name=record.name,
        service=record.service,
        data_centre=record.data_centre,
        address=f"{record.peer_host}:{record.peer_port}",
        state=EndpointState(record.state).name.lower(),
        slots=record.slots,
        node=record.node,
    )


def _announcement_problem(faults: AnnouncementFaults) -> HttpResponse:
    return answer_problem(
        "announcement_invalid",
        HTTPStatus.UNPROCESSABLE_ENTITY,
        f"{len(faults.faults)} faults",
        {"faults": [asdict(fault) for fault in faults.faults]},
    )


def _not_ready(reason: str) -> HttpResponse:
    return answer_problem(
        "not_ready",
        HTTPStatus.SERVICE_UNAVAILABLE,
        reason,
    )

"""Admin port handlers of a process that runs a node."""

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
from rhubarbhollow_daemon.own_version import own_version
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
    from rhubarbhollow_daemon.metric_sample import MetricSample
    from rhubarbhollow_daemon.metrics import Metrics
    from rhubarbhollow_daemon.node_parts import NodeParts
    from rhubarbhollow_distribution.endpoint_record import EndpointRecord


class NodeHandlers:
    """Serve announcements, upstreams, metrics and health checks."""

    def __init__(
        self,
        parts: NodeParts,
        metrics: Metrics,
        collect_metrics: Callable[[], Iterable[MetricSample]],
    ) -> None:
        self._parts = parts
        self._metrics = metrics
        self._collect_metrics = collect_metrics

    def register(self, application: AdminApplication) -> None:
        """Add the routes of these handlers to the admin port."""
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
        """Register the upstream beside this node or renew its lease."""
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
        if self._has_other_upstream(announcement):
            return answer_problem(
                "upstream_present",
                HTTPStatus.CONFLICT,
                "another upstream is already announced to this node",
            )
        listed = self._parts.upstreams.announce(announcement)
        if isinstance(listed, Err):
            return answer_problem(
                "too_many_upstreams",
                HTTPStatus.CONFLICT,
                f"a node accepts at most {listed.err_value.limit} upstreams",
            )
        return answer_json({"lease_seconds": announcement.lease.seconds})

    async def withdraw(
        self,
        _: HttpRequest,
        arguments: Mapping[str, str],
    ) -> HttpResponse:
        """Withdraw an announced upstream."""
        withdrawn = self._parts.upstreams.withdraw(arguments["name"])
        if isinstance(withdrawn, Err):
            return answer_problem(
                "unknown_upstream",
                HTTPStatus.NOT_FOUND,
                "no upstream with this name is announced to this node",
            )
        return answer_json({"withdrawn": arguments["name"]})

    async def list_upstreams(
        self,
        _: HttpRequest,
        __: Mapping[str, str],
    ) -> HttpResponse:
        """List every upstream of the mesh known to this node."""
        records = self._parts.state.endpoints.records
        view = UpstreamsView(
            tuple(_build_upstream_view(record) for record in records)
        )
        return answer_json(asdict(view))

    async def show_metrics(
        self,
        _: HttpRequest,
        __: Mapping[str, str],
    ) -> HttpResponse:
        """Return all metrics of this process."""
        return self._metrics.render(self._collect_metrics())

    async def show_health(
        self,
        _: HttpRequest,
        __: Mapping[str, str],
    ) -> HttpResponse:
        """Report that the process is alive."""
        return answer_json({"status": "ok"})

    async def show_readiness(
        self,
        _: HttpRequest,
        __: Mapping[str, str],
    ) -> HttpResponse:
        """Report whether this node can route calls.

        It cannot while it drains or before it has a release.
        """
        call_node = self._parts.call_node
        if call_node.is_draining:
            return _not_ready("draining")
        if call_node.snapshot is None:
            return _not_ready("no_release")
        return answer_json({"status": "ready"})

    def status(self) -> StatusView:
        """Return the status of a process without a control instance."""
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
            # Without a replica, this reports whether the node is
            # connected to a control instance, which may not be fresh.
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
            version=own_version(),
        )

    def _has_other_upstream(self, announcement: Announcement) -> bool:
        return any(
            listed.name != announcement.name and not listed.is_leaving
            for listed in self._parts.upstreams.announcements
        )


def _build_upstream_view(record: EndpointRecord) -> UpstreamView:
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
        f"the announcement has faults: {len(faults.faults)}",
        {"faults": [asdict(fault) for fault in faults.faults]},
    )


def _not_ready(reason: str) -> HttpResponse:
    return answer_problem(
        "not_ready",
        HTTPStatus.SERVICE_UNAVAILABLE,
        reason,
    )

"""Admin port handlers that explain a node's decisions."""

from __future__ import annotations

from dataclasses import asdict
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.candidate_view import CandidateView, Eligibility
from rhubarbhollow_daemon.http_response import (
    HttpResponse,
    answer_json,
    answer_problem,
)
from rhubarbhollow_daemon.request_explanation import (
    AskedRequest,
    explain_request,
)
from rhubarbhollow_daemon.views import (
    CallExplanation,
    CandidateDocument,
    NodeExplanation,
    RouteExplanation,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rhubarbhollow_daemon.http_request import HttpRequest
    from rhubarbhollow_daemon.http_server import AdminApplication
    from rhubarbhollow_daemon.node_parts import NodeParts

MS_PER_SECOND: Final = 1000


class ExplainHandlers:
    """Serve explanations of routes, refused calls and the release."""

    def __init__(self, parts: NodeParts) -> None:
        self._parts = parts

    def register(self, application: AdminApplication) -> None:
        """Add the routes of these handlers to the admin port."""
        request_id = "(?P<request_id>[^/]{1,256})"
        add = application.add
        add("GET", "/v1/explain/route", self.explain_route)
        add("GET", "/v1/explain/request", self.explain_request)
        add("GET", f"/v1/explain/call/{request_id}", self.explain_call)
        add("GET", "/v1/explain/node", self.explain_node)

    async def explain_route(
        self,
        request: HttpRequest,
        _: Mapping[str, str],
    ) -> HttpResponse:
        """Explain where this node would route a call, and why."""
        host = request.query_parameter("host") or "*"
        path = request.query_parameter("path") or "/"
        return answer_json(asdict(self._explain_route(host, path)))

    async def explain_request(
        self,
        request: HttpRequest,
        _: Mapping[str, str],
    ) -> HttpResponse:
        """Explain what this node would do with a request now."""
        asked = AskedRequest(
            request.query_parameter("method") or "GET",
            request.query_parameter("host") or "*",
            request.query_parameter("path") or "/",
            request.query_parameter("tenant"),
        )
        view = explain_request(self._parts.call_node, asked)
        return answer_json(asdict(view))

    async def explain_call(
        self,
        _: HttpRequest,
        arguments: Mapping[str, str],
    ) -> HttpResponse:
        """Explain why this node refused a call."""
        request_id = arguments["request_id"]
        calls = self._parts.refused_call_log.find(request_id.encode())
        if not calls:
            return answer_problem(
                "unknown_call",
                HTTPStatus.NOT_FOUND,
                "no recently refused call has this request id",
            )
        view = CallExplanation(request_id, calls)
        return answer_json(asdict(view))

    async def explain_node(
        self,
        _: HttpRequest,
        __: Mapping[str, str],
    ) -> HttpResponse:
        """Explain why this node holds its current release."""
        parts = self._parts
        view = parts.state.holder.explain()
        source = parts.chooser.explain()
        return answer_json(
            asdict(
                NodeExplanation(
                    active_position=view.active_position,
                    staged_position=max(
                        view.staged_positions,
                        default=view.active_position,
                    ),
                    floor=parts.state.holder.floor,
                    source=source.current or None,
                    # False for any reason to leave the source, also
                    # if a fresh one of another data centre is to be
                    # replaced by a local one.
                    is_source_fresh=not source.dissatisfaction,
                    reason=_node_reason(
                        view.last_refusal,
                        source.dissatisfaction,
                        is_connected=parts.session.is_connected,
                    ),
                )
            )
        )

    def _explain_route(self, host: str, path: str) -> RouteExplanation:
        call_node = self._parts.call_node
        snapshot = call_node.snapshot
        if snapshot is None:
            return RouteExplanation(None, None, 0, (), "no release in force")
        route = snapshot.route_table.match(host.encode(), path.encode())
        if route is None:
            reason = "no route matches"
            return RouteExplanation(None, None, snapshot.position, (), reason)
        candidates = tuple(
            self._describe_candidate(view)
            for view in call_node.selector.explain(route.service)
        )
        return RouteExplanation(
            route.name,
            route.service,
            snapshot.position,
            candidates,
            f"prefix {route.prefix} on host {route.host} is the longest match",
        )

    def _describe_candidate(self, view: CandidateView) -> CandidateDocument:
        own = self._parts.settings.instance.data_centre
        seconds = view.latency_seconds
        return CandidateDocument(
            upstream=view.endpoint.name,
            data_centre=view.endpoint.data_centre,
            is_local=view.endpoint.data_centre == own,
            in_flight=view.in_flight,
            latency_ms=None if seconds is None else seconds * MS_PER_SECOND,
            state=view.endpoint.state.value,
            is_eligible=view.eligibility <= Eligibility.REMOTE_FULL,
            reason=view.eligibility.name.lower(),
        )


def _node_reason(
    last_refusal: str,
    dissatisfaction: str,
    *,
    is_connected: bool,
) -> str:
    if not is_connected:
        return "no control instance connected; the last release stays in force"
    if dissatisfaction:
        return f"looking for another control instance: {dissatisfaction}"
    if last_refusal:
        return f"last refused release: {last_refusal}"
    return "the control instance has no newer release"

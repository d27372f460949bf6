"""Explanation of what a node would do with a request now."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.call_entry import (
    UnroutedCall,
    refuse_stopping,
    refuse_unauthenticated,
    refuse_unrouted,
)
from rhubarbhollow_calls.call_profile import CallProfile
from rhubarbhollow_calls.deadline import Deadline
from rhubarbhollow_calls.not_run_proof import NeverWritten, UnwrittenStage
from rhubarbhollow_calls.refusal import Refusal, RefusalKind
from rhubarbhollow_daemon.request_views import (
    RequestCandidate,
    RequestExplanation,
    RouteDocument,
    TenantDocument,
)

if TYPE_CHECKING:
    from rhubarbhollow_calls.call_entry import EntryRefusal
    from rhubarbhollow_calls.candidate_view import CandidateView
    from rhubarbhollow_calls.io_node import CallNode
    from rhubarbhollow_calls.io_route_state import RouteState
    from rhubarbhollow_tenants.tenant import Tenant

MS_PER_SECOND: Final = 1000


@dataclass(frozen=True, slots=True)
class AskedRequest:
    """Describe the request to explain; no tenant means no key."""

    method: str
    host: str
    path: str
    tenant: str | None


def explain_request(node: CallNode, asked: AskedRequest) -> RequestExplanation:
    """Decide on a request like the caller port, and send nothing.

    Where the choice among upstreams is random, the explanation shows
    one choice of several.
    """
    state = node.route(asked.host.encode(), asked.path.encode())
    refusal = refuse_unrouted(node, state, 0)
    if refusal is not None:
        return _refused(node, asked, refusal, state, None)
    if state is None:
        raise UnroutedCall("a call without a route was not refused")
    tenant, refusal = _find_tenant(node, asked, state)
    if refusal is None:
        now = node.clock.monotonic()
        deadline = Deadline.after_ms(state.route.timeout_ms, now)
        refusal = refuse_stopping(node, deadline, state)
    if refusal is not None:
        return _refused(node, asked, refusal, state, tenant)
    return _placed(node, asked, state, tenant)


def _find_tenant(
    node: CallNode, asked: AskedRequest, state: RouteState
) -> tuple[Tenant | None, EntryRefusal | None]:
    if not node.tenants.requires_keys or state.route.is_public:
        return None, None
    tenant = None
    if asked.tenant is not None:
        tenant = node.tenants.named(asked.tenant)
    refusal = None if tenant else refuse_unauthenticated(node)
    return tenant, refusal


def _placed(
    node: CallNode,
    asked: AskedRequest,
    state: RouteState,
    tenant: Tenant | None,
) -> RequestExplanation:
    shares = _shares(state)
    chosen = {service: _choose(node, state, service) for service, _ in shares}
    candidates = tuple(
        _describe_candidate(view, service, share, chosen[service])
        for service, share in shares
        for view in node.selector.explain(service)
    )
    names = [name for name in chosen.values() if name]
    if names:
        return _explanation(
            node,
            asked,
            state,
            tenant,
            candidates,
            f"forwarded to {' or '.join(names)}",
        )
    fallbacks = [
        name
        for service in state.route.fallbacks
        if (name := _choose(node, state, service, is_fallback=True))
    ]
    if fallbacks:
        reason = f"no upstream of the route; fallback {fallbacks[0]}"
        return _explanation(node, asked, state, tenant, candidates, reason)
    services = ", ".join(service for service, _ in shares)
    refusal = _refusal(
        RefusalKind.NO_UPSTREAM,
        f"no upstream of service {services} is available",
    )
    return _explanation(
        node, asked, state, tenant, candidates, refusal.detail, refusal
    )


def _shares(state: RouteState) -> list[tuple[str, float]]:
    """Return the services of a route with their shares of its calls."""
    total = sum(weight for _, weight in state.services.parts)
    return [
        (service, weight / total) for service, weight in state.services.parts
    ]


def _choose(
    node: CallNode,
    state: RouteState,
    service: str,
    *,
    is_fallback: bool = False,
) -> str:
    """Return the name of the upstream that a call would get now."""
    port = node.local_port
    if port is not None:
        node.selector.report_backlog(port.upstream.name, port.gate.backlog)
    route = state.route
    profile = None
    if route.latency_seconds is not None and not is_fallback:
        seconds = route.latency_seconds
        profile = CallProfile(route.name, seconds, seconds, route.priority)
    endpoint = node.selector.choose(service, frozenset(), profile)
    return "" if endpoint is None else endpoint.name


def _describe_candidate(
    view: CandidateView, service: str, share: float, chosen: str
) -> RequestCandidate:
    seconds = view.latency_seconds
    name = view.endpoint.name
    return RequestCandidate(
        upstream=name,
        service=service,
        data_centre=view.endpoint.data_centre,
        state=view.endpoint.state.value,
        reason=view.eligibility.name.lower(),
        slots=view.endpoint.slots,
        in_flight=view.in_flight,
        latency_ms=None if seconds is None else seconds * MS_PER_SECOND,
        failures=view.consecutive_failures,
        refusals=view.refusals,
        share=view.share,
        chosen_as=share if name == chosen else 0.0,
    )


def _refused(
    node: CallNode,
    asked: AskedRequest,
    refusal: EntryRefusal,
    state: RouteState | None,
    tenant: Tenant | None,
) -> RequestExplanation:
    made = _refusal(refusal.kind, refusal.detail)
    return _explanation(node, asked, state, tenant, (), refusal.detail, made)


def _refusal(kind: RefusalKind, detail: str) -> Refusal:
    return Refusal.not_run(kind, NeverWritten(UnwrittenStage.ROUTING), detail)


def _explanation(
    node: CallNode,
    asked: AskedRequest,
    state: RouteState | None,
    tenant: Tenant | None,
    candidates: tuple[RequestCandidate, ...],
    reason: str,
    refusal: Refusal | None = None,
) -> RequestExplanation:
    snapshot = node.snapshot
    return RequestExplanation(
        method=asked.method,
        decision="forward" if refusal is None else "refuse",
        reason=reason,
        kind="" if refusal is None else refusal.kind.value,
        status=0 if refusal is None else node.status_of(refusal),
        position=0 if snapshot is None else snapshot.position,
        release_confirmed=node.is_release_confirmed(),
        route=None if state is None else _describe_route(state),
        tenant=None if tenant is None else _describe_tenant(node, tenant),
        candidates=candidates,
    )


def _describe_route(state: RouteState) -> RouteDocument:
    route = state.route
    seconds = route.latency_seconds
    return RouteDocument(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        is_public=route.is_public,
        is_idempotent=route.is_idempotent,
        timeout_ms=route.timeout_ms,
        attempts=route.attempts,
        priority=route.priority.name.lower(),
        rank=route.rank,
        objective_ms=(
            None if seconds is None else round(seconds * MS_PER_SECOND)
        ),
        retry_tokens=state.budget.balance,
    )


def _describe_tenant(node: CallNode, tenant: Tenant) -> TenantDocument:
    remaining = None
    if node.quota is not None and tenant.rate > 0.0:
        remaining = node.quota.remaining(tenant.name)
    return TenantDocument(
        tenant.name, tenant.priority, tenant.rate, tenant.burst, remaining
    )

"""JSON documents that explain what a node does with a request.

The field names become the members of the JSON objects.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TenantDocument:
    """Hold the tenant that a request counts for.

    ``remaining`` is how many calls its quota leaves at this node, or
    ``None`` if the node keeps no count for it.
    """

    name: str
    priority: int
    rate: float
    burst: float
    remaining: float | None


@dataclass(frozen=True, slots=True)
class RouteDocument:
    """Hold the route of a request and its policy."""

    name: str
    host: str
    prefix: str
    is_public: bool
    is_idempotent: bool
    timeout_ms: int
    attempts: int
    priority: str
    rank: int
    objective_ms: int | None
    retry_tokens: float


@dataclass(frozen=True, slots=True)
class RequestCandidate:
    """Hold the evidence about one upstream.

    ``chosen_as`` is the share of calls of its service, between 0 and 1,
    if a call of that service would go there now, else 0.
    """

    upstream: str
    service: str
    data_centre: str
    state: str
    reason: str
    slots: int
    in_flight: int
    latency_ms: float | None
    failures: int
    refusals: int
    share: float
    chosen_as: float


@dataclass(frozen=True, slots=True)
class RequestExplanation:
    """Hold what this node would do with a request now, and why.

    ``decision`` is "forward" or "refuse". ``kind`` and ``status`` are
    those of the refusal, or empty and 0.
    """

    method: str
    decision: str
    reason: str
    kind: str
    status: int
    position: int
    release_confirmed: bool
    route: RouteDocument | None
    tenant: TenantDocument | None
    candidates: tuple[RequestCandidate, ...]

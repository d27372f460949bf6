"""Documents that the admin port answers with."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_daemon.call_log import RefusedCall
    from rhubarbhollow_daemon.messages import NodeStatus


@dataclass(frozen=True, slots=True)
class MemberView:
    """Show one member of the quorum log."""

    name: str
    role: str
    match_index: int


@dataclass(frozen=True, slots=True)
class StatusView:
    """Show an instance and the release in force on it."""

    instance: str
    data_centre: str
    mesh: str
    is_control: bool
    role: str | None
    term: int
    leader: str | None
    is_fresh: bool
    latest_position: int
    active_position: int
    active_version: int
    active_digest: str
    nodes_known: int
    nodes_in_force: int
    members: tuple[MemberView, ...]
    version: str


@dataclass(frozen=True, slots=True)
class ReleaseView:
    """Show one accepted release; ``state`` is its place in time."""

    position: int
    version: int
    digest: str
    key_id: str
    state: str


@dataclass(frozen=True, slots=True)
class ReleasesView:
    """List accepted releases, the oldest first."""

    releases: tuple[ReleaseView, ...]


@dataclass(frozen=True, slots=True)
class NodesView:
    """List the nodes that control instances know."""

    nodes: tuple[NodeStatus, ...]


@dataclass(frozen=True, slots=True)
class UpstreamView:
    """Show one announced upstream."""

    name: str
    service: str
    data_centre: str
    address: str
    state: str
    slots: int
    node: str


@dataclass(frozen=True, slots=True)
class UpstreamsView:
    """List the upstreams that this instance knows."""

    upstreams: tuple[UpstreamView, ...]


@dataclass(frozen=True, slots=True)
class CandidateDocument:
    """Show why an upstream is or is not eligible."""

    upstream: str
    data_centre: str
    is_local: bool
    in_flight: int
    latency_ms: float | None
    state: str
    is_eligible: bool
    reason: str


@dataclass(frozen=True, slots=True)
class RouteExplanation:
    """Show where calls to a host and path go from this node."""

    route: str | None
    service: str | None
    position: int
    candidates: tuple[CandidateDocument, ...]
    reason: str


@dataclass(frozen=True, slots=True)
class CallExplanation:
    """Show why this node refused a call."""

    request_id: str
    events: tuple[RefusedCall, ...]


@dataclass(frozen=True, slots=True)
class NodeExplanation:
    """Show why this node holds the release that it holds."""

    active_position: int
    staged_position: int
    floor: int
    source: str | None
    is_source_fresh: bool
    reason: str

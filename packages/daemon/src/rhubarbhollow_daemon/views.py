"""JSON documents served by the admin port.

The field names become the members of the JSON objects.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_daemon.messages import NodeStatus
    from rhubarbhollow_daemon.refused_call_log import RefusedCall


@dataclass(frozen=True, slots=True)
class MemberView:
    """Hold the role and match index of a member of the quorum log."""

    name: str
    role: str
    match_index: int


@dataclass(frozen=True, slots=True)
class StatusView:
    """Hold the status of an instance and its release in force.

    ``role`` is ``None`` on a node that is no control instance, and
    ``leader`` is ``None`` while it is unknown.
    """

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
    """Hold one accepted release.

    ``state`` is "in_force" for the active position, "accepted" above
    it and "past" below it.
    """

    position: int
    version: int
    digest: str
    key_id: str
    state: str


@dataclass(frozen=True, slots=True)
class ReleasesView:
    """List the accepted releases, oldest first."""

    releases: tuple[ReleaseView, ...]


@dataclass(frozen=True, slots=True)
class NodesView:
    """List the nodes connected to the control instances."""

    nodes: tuple[NodeStatus, ...]


@dataclass(frozen=True, slots=True)
class UpstreamView:
    """Hold one announced upstream."""

    name: str
    service: str
    data_centre: str
    address: str
    state: str
    slots: int
    node: str


@dataclass(frozen=True, slots=True)
class UpstreamsView:
    """List the upstreams known to this instance."""

    upstreams: tuple[UpstreamView, ...]


@dataclass(frozen=True, slots=True)
class CandidateDocument:
    """Explain whether an upstream is eligible for a call."""

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
    """Explain where this node routes calls to a host and path."""

    route: str | None
    service: str | None
    position: int
    candidates: tuple[CandidateDocument, ...]
    reason: str


@dataclass(frozen=True, slots=True)
class CallExplanation:
    """Explain why this node refused a call."""

    request_id: str
    events: tuple[RefusedCall, ...]


@dataclass(frozen=True, slots=True)
class NodeExplanation:
    """Explain why this node holds its current release.

    ``source`` is the control instance that it follows, or ``None``.
    """

    active_position: int
    staged_position: int
    floor: int
    source: str | None
    is_source_fresh: bool
    reason: str

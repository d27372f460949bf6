"""Messages to and from control instances that this package defines."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerHello:
    """Open a connection between two control instances.

    ``group`` names the quorum log whose messages follow.
    """

    mesh: str
    control: str
    incarnation: int
    group: int


@dataclass(frozen=True, slots=True)
class EndpointsRequest:
    """Request every endpoint record that the receiver owns."""

    control: str


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """Report a node's positions, as its control instance knows them.

    ``age_seconds`` is the time since the node was last heard from.
    """

    name: str
    data_centre: str
    control: str
    active_position: int
    staged_position: int
    age_seconds: float


@dataclass(frozen=True, slots=True)
class NodesRequest:
    """Request the nodes of another control instance."""

    request_id: int


@dataclass(frozen=True, slots=True)
class NodesAnswer:
    """List the nodes of one control instance."""

    request_id: int
    nodes: tuple[NodeStatus, ...]


@dataclass(frozen=True, slots=True)
class ProposeRequest:
    """Relay a command to the leader.

    ``group`` is the quorum log, ``kind`` what the leader is to do. The
    body of an operator's request is relayed unchanged, so that the
    leader validates what the operator sent.
    """

    request_id: int
    group: int
    payload: bytes
    kind: int


@dataclass(frozen=True, slots=True)
class ProposeAnswer:
    """Return the leader's answer to a ``ProposeRequest``.

    ``status`` and ``outcome`` are an HTTP status and a body, or what
    the kind of the request defines in their place.
    """

    request_id: int
    status: int
    outcome: bytes
    leader: str


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Request that a claim command be committed."""

    request_id: int
    command: bytes


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Return the ledger's outcome, empty if none is known."""

    request_id: int
    outcome: bytes


@dataclass(frozen=True, slots=True)
class BurnRequest:
    """Request the counts that burn rates are computed from."""

    request_id: int


@dataclass(frozen=True, slots=True)
class BurnCount:
    """Count the calls of one subject in the window that ends now.

    ``scope`` is service, route, upstream or position, and ``name`` the
    subject in it; ``late`` counts answers beyond the latency objective.
    """

    scope: str
    service: str
    name: str
    window_seconds: int
    calls: int
    failed: int
    late: int


@dataclass(frozen=True, slots=True)
class BurnAnswer:
    """Return the counts of one node, or of all nodes of an instance."""

    request_id: int
    counts: tuple[BurnCount, ...]

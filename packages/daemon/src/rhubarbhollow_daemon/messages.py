"""Messages between control instances that no decision package owns."""

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
    """Ask for every endpoint that the receiver vouches for."""

    control: str


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """Tell what one node holds, as its control instance saw it last."""

    name: str
    data_centre: str
    control: str
    active_position: int
    staged_position: int
    age_seconds: float


@dataclass(frozen=True, slots=True)
class NodesRequest:
    """Ask another control instance for its nodes."""

    request_id: int


@dataclass(frozen=True, slots=True)
class NodesAnswer:
    """List the nodes of one control instance."""

    request_id: int
    nodes: tuple[NodeStatus, ...]


@dataclass(frozen=True, slots=True)
class ProposeRequest:
    """Hand a caller's command to the leader.

    ``payload`` is the body of the operator's request, unchanged, so
    that the leader checks what the operator sent.
    """

    request_id: int
    group: int
    payload: bytes
    kind: int


@dataclass(frozen=True, slots=True)
class ProposeAnswer:
    """Return the leader's answer: an HTTP status and a JSON body."""

    request_id: int
    status: int
    outcome: bytes
    leader: str


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Ask for a command of the claim ledger to be committed."""

    request_id: int
    command: bytes


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Return the ledger's outcome, or nothing if there was none."""

    request_id: int
    outcome: bytes


@dataclass(frozen=True, slots=True)
class BurnRequest:
    """Ask for the counts that burn rates are made of."""

    request_id: int


@dataclass(frozen=True, slots=True)
class BurnCount:
    """Count the calls of one subject in the window that ends now.

    ``scope`` is service, route, upstream or position; ``late`` answers
    missed the latency objective.
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

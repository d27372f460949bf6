"""Messages between control instances, defined by this package."""

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

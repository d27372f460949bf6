"""Events that the control instance's task handles."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from rhubarbhollow_daemon.node_link import NodeLink


@dataclass(frozen=True, slots=True)
class NodeJoined:
    """A node opened a connection and sent a valid hello."""

    link: NodeLink


@dataclass(frozen=True, slots=True)
class NodeSaid:
    """A node sent a message."""

    link: NodeLink
    message: object


@dataclass(frozen=True, slots=True)
class NodeLeft:
    """A node's connection ended."""

    link: NodeLink


@dataclass(frozen=True, slots=True)
class PeerSaid:
    """Another control instance sent a message."""

    control: str
    message: object


@dataclass(frozen=True, slots=True)
class LogAdvanced:
    """The quorum log applied entries."""


ControlEvent: TypeAlias = (
    NodeJoined | NodeSaid | NodeLeft | PeerSaid | LogAdvanced
)

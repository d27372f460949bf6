"""The heartbeat of a node on an idle connection."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NodeHeartbeat:
    """Renew the node's lease and repeat its positions."""

    active_position: int
    staged_position: int

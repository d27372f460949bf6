"""How many nodes hold one position."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PositionCount:
    """Count the nodes for which ``position`` holds."""

    position: int
    count: int

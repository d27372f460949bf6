"""The number of nodes at one position."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PositionCount:
    """Pair a position with the number of nodes at that position."""

    position: int
    count: int

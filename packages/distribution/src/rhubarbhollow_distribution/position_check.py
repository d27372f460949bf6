"""The result of comparing an observed position with a node's own."""

from __future__ import annotations

from enum import Enum, auto


class PositionCheck(Enum):
    """Classify the node's release against an observed position."""

    CURRENT = auto()
    ACTIVATED = auto()
    BEHIND = auto()

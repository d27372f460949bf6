"""What a node finds when it compares a position with its own."""

from __future__ import annotations

from enum import Enum, auto


class PositionCheck(Enum):
    """Tell how the node's release relates to an observed position."""

    CURRENT = auto()
    ACTIVATED = auto()
    BEHIND = auto()

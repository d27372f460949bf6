"""What a node makes of a position that it hears of."""

from __future__ import annotations

from enum import Enum, auto
from typing import Protocol


class PositionCheck(Enum):
    """Tell how this node's release relates to a position."""

    # this node is at the position or past it
    CURRENT = auto()
    # the release was staged here and is in force from now on
    ACTIVATED = auto()
    # this node does not hold the release
    BEHIND = auto()


class PositionObserver(Protocol):
    """Hear of positions that calls carry."""

    def __call__(
        self, position: int, *, is_hint: bool = False
    ) -> PositionCheck:
        """Activate the release at ``position`` if it is staged.

        A hint comes from a caller, who may make one up; everything else
        is the word of a node.

        Installs the new snapshot before it returns ``ACTIVATED``.
        """
        ...

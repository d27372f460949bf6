"""The comparison of a node's release with a received position."""

from __future__ import annotations

from enum import Enum, auto
from typing import Protocol


class PositionCheck(Enum):
    """Describe how this node's release relates to a position."""

    # This node is at the position or past it.
    CURRENT = auto()
    # The release was staged here and is now in force.
    ACTIVATED = auto()
    # This node does not have the release.
    BEHIND = auto()


class PositionObserver(Protocol):
    """Receive the positions that calls carry."""

    def __call__(
        self, position: int, *, is_hint: bool = False
    ) -> PositionCheck:
        """Activate the release at ``position`` if it is staged.

        A hint comes from a caller and may be forged; any other position
        comes from a node.

        Installs the new snapshot before it returns ``ACTIVATED``.
        """
        ...

"""The state of one connected node on a control instance."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """Hold a node's positions and the time of its last message."""

    node: str
    data_centre: str
    incarnation: int
    active_position: int
    staged_positions: frozenset[int]
    heard_at: float

    @property
    def staged_position(self) -> int:
        """Return the highest position held, staged or in force."""
        return max(self.staged_positions, default=self.active_position)

    def is_ready(self, position: int) -> bool:
        """Return whether ``position`` is staged or was passed."""
        return (
            self.active_position >= position
            or position in self.staged_positions
        )

"""Node counts by position for one control instance."""

from dataclasses import dataclass

from rhubarbhollow_distribution.position_count import PositionCount


@dataclass(frozen=True, slots=True)
class RegisterSummary:
    """Count the live nodes of one control instance by position.

    ``staged`` has the number of nodes that have staged each position,
    and ``in_force`` the number of nodes on which each position is in
    force.
    """

    control: str
    live_nodes: int
    staged: tuple[PositionCount, ...]
    in_force: tuple[PositionCount, ...]

    def count_ready(self, position: int) -> int:
        """Count the nodes that staged or passed ``position``."""
        staged = sum(
            entry.count for entry in self.staged if entry.position == position
        )
        passed = sum(
            entry.count
            for entry in self.in_force
            if entry.position >= position
        )
        return staged + passed

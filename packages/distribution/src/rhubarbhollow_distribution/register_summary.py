"""A control instance's count of what its nodes hold."""

from dataclasses import dataclass

from rhubarbhollow_distribution.position_count import PositionCount


@dataclass(frozen=True, slots=True)
class RegisterSummary:
    """Count the live nodes of one control instance by position.

    ``staged`` counts, for each position, the nodes that have exactly
    that release staged.  ``in_force`` counts the nodes by the position
    that is in force on them.
    """

    control: str
    live_nodes: int
    staged: tuple[PositionCount, ...]
    in_force: tuple[PositionCount, ...]

    def count_ready(self, position: int) -> int:
        """Count the nodes that can serve ``position`` or passed it."""
        staged = sum(
            entry.count for entry in self.staged if entry.position == position
        )
        passed = sum(
            entry.count
            for entry in self.in_force
            if entry.position >= position
        )
        return staged + passed

"""The durable mark below which no node of a data centre may start."""

from __future__ import annotations

from rhubarbhollow_distribution.invariant import check_invariant


class StartFloor:
    """Track the highest position that a local node may have applied.

    The mark is raised, and synced to disk, before a release is offered
    to the first node, and whenever a node of the data centre reports a
    higher position.  A node can therefore never have applied more than
    the recorded mark of the control instance that fed it.
    """

    def __init__(self, recorded: int) -> None:
        self._recorded = recorded
        self._required = recorded

    @property
    def recorded(self) -> int:
        """Return the mark that is known to be synced."""
        return self._recorded

    @property
    def pending(self) -> int | None:
        """Return the mark that still has to be synced, or none."""
        return self._required if self._required > self._recorded else None

    def require(self, position: int) -> None:
        """Ask for the mark to be at least ``position``."""
        self._required = max(self._required, position)

    def confirm(self, position: int) -> None:
        """Note that the mark ``position`` is synced to disk."""
        check_invariant(
            position <= self._required,
            "only a required floor is recorded",
        )
        self._recorded = max(self._recorded, position)

    def may_offer(self, position: int) -> bool:
        """Tell whether the release at ``position`` may be sent."""
        return position <= self._recorded

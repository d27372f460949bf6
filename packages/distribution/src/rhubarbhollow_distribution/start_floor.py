"""The durable floor below which no node of a data centre starts."""

from __future__ import annotations

from rhubarbhollow_distribution.invariant import check_invariant


class StartFloor:
    """Track the highest position that a local node may have applied.

    The floor is raised and synced to disk before a release is offered
    to the first node, and whenever a node of the data centre reports a
    higher position.  A node can therefore never have applied a position
    above the recorded floor of the control instance that sent it the
    release.
    """

    def __init__(self, recorded: int) -> None:
        self._recorded = recorded
        self._required = recorded

    @property
    def recorded(self) -> int:
        """Return the floor that is known to be synced to disk."""
        return self._recorded

    @property
    def pending(self) -> int | None:
        """Return the floor that must still be synced, or ``None``."""
        return self._required if self._required > self._recorded else None

    def require(self, position: int) -> None:
        """Require the floor to be at least ``position``."""
        self._required = max(self._required, position)

    def confirm(self, position: int) -> None:
        """Record that the floor ``position`` is synced to disk."""
        check_invariant(
            position <= self._required,
            "a confirmed floor does not exceed the required floor",
        )
        self._recorded = max(self._recorded, position)

    def may_offer(self, position: int) -> bool:
        """Return whether the release at ``position`` may be sent."""
        return position <= self._recorded

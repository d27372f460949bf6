"""The share of calls that a node sends to a new version."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_rollout.view import RUNNING, WHOLE_PERMILLE

if TYPE_CHECKING:
    from random import Random

    from rhubarbhollow_rollout.messages import RolloutView

# A node that got no confirmation for this time sends new calls to the
# old version only.
CONFIRMATION_SECONDS: Final = 2.0
# Unused credit beyond this is dropped, so that a pause of the new
# version is not followed by a burst.
MAX_CREDIT: Final = 4.0


class ExposureSplit:
    """Decide which calls of one service go to its new version.

    Each answer of an old upstream earns the share of a call to a new
    one. The sum over all nodes therefore stays at the share of the
    requests that reached the service, whatever each node knows of the
    others. A node begins with a random part of a call: it makes up on
    average for the part that is left at the end. With nothing, a node
    with 4 calls a second would expose its first one after 8 s.
    """

    def __init__(self, view: RolloutView, random: Random) -> None:
        self._view = view
        self._random = random
        self._credit = random.random()
        self._valid_until = float("-inf")

    @property
    def view(self) -> RolloutView:
        """Return the latest known view of the rollout."""
        return self._view

    def update(self, view: RolloutView) -> bool:
        """Use a later view; return whether it is later."""
        if view.revision <= self._view.revision:
            return False
        if view.number != self._view.number:
            self._credit = self._random.random()
            self._valid_until = float("-inf")
        self._view = view
        return True

    def confirm(self, at: float) -> None:
        """Record that the view was the latest at the time ``at``."""
        until = at + CONFIRMATION_SECONDS
        self._valid_until = max(self._valid_until, until)

    def is_confirmed(self, now: float) -> bool:
        """Return whether the view may be relied on."""
        return now < self._valid_until

    def take(self, now: float) -> bool:
        """Return whether the next call goes to the new version."""
        view = self._view
        if view.state != RUNNING or not self.is_confirmed(now):
            return False
        if view.share_permille >= WHOLE_PERMILLE:
            return True
        if view.share_permille <= 0 or self._credit < 1:
            return False
        self._credit -= 1
        return True

    def give_back(self) -> None:
        """Return the credit of a call that reached no new upstream."""
        self._credit = min(MAX_CREDIT, self._credit + 1)

    def earn(self) -> None:
        """Record an answer of an old upstream."""
        share = self._view.share_permille / WHOLE_PERMILLE
        if self._view.state != RUNNING or not 0 < share < 1:
            return
        self._credit = min(MAX_CREDIT, self._credit + share / (1 - share))

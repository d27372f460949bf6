"""Leader leases."""

from __future__ import annotations

from collections import OrderedDict


class Lease:
    """Track rounds and the lease that they renew.

    The lease starts when the latest confirmed round was sent. A
    follower that answers a round grants no vote until the election
    timeout has passed since it received the round, which is later than
    the round was sent. The lease is shorter than that timeout by the
    allowed clock drift, so no other leader can be elected during it.
    """

    def __init__(self, lease_seconds: float, now: float) -> None:
        self._lease_seconds = lease_seconds
        self._sent_at: OrderedDict[int, float] = OrderedDict()
        self._round = 0
        self._confirmed_round = 0
        self._confirmed_at = now

    @property
    def round(self) -> int:
        """The number of the latest round; zero before the first."""
        return self._round

    @property
    def confirmed_round(self) -> int:
        """The latest round that a quorum has answered."""
        return self._confirmed_round

    @property
    def confirmed_at(self) -> float:
        """The time the last confirmed round was sent.

        Before the first confirmation, the time the election was won.
        """
        return self._confirmed_at

    def begin_round(self, now: float) -> int:
        """Start a new round that is sent no earlier than ``now``."""
        self._round += 1
        self._sent_at[self._round] = now
        return self._round

    def confirm(self, round_number: int) -> bool:
        """Record that a quorum answered a round.

        Return whether the confirmed round advanced.
        """
        if round_number <= self._confirmed_round:
            return False
        self._confirmed_round = round_number
        self._confirmed_at = self._sent_at[round_number]
        while next(iter(self._sent_at)) < round_number:
            self._sent_at.popitem(last=False)
        return True

    def is_live(self, now: float) -> bool:
        """Return whether the lease is still valid at ``now``."""
        if self._confirmed_round == 0:
            return False
        return now < self._confirmed_at + self._lease_seconds

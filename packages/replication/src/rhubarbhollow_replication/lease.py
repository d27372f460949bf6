"""The time for which a leader knows that no other can exist."""

from __future__ import annotations

from collections import OrderedDict


class Lease:
    """Count a lease from the sending of each confirmed round.

    A follower that answers a round grants no vote for the election
    timeout after it heard it, which is after the round was sent. The
    lease is shorter than that timeout by the allowed clock drift.
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
        """When the confirmed round was sent, or the term was won."""
        return self._confirmed_at

    def begin_round(self, now: float) -> int:
        """Start a new round, sent at ``now`` at the earliest."""
        self._round += 1
        self._sent_at[self._round] = now
        return self._round

    def confirm(self, round_number: int) -> bool:
        """Note a quorum's answer; return whether it is news."""
        if round_number <= self._confirmed_round:
            return False
        self._confirmed_round = round_number
        self._confirmed_at = self._sent_at[round_number]
        while next(iter(self._sent_at)) < round_number:
            self._sent_at.popitem(last=False)
        return True

    def is_live(self, now: float) -> bool:
        """Whether no other leader can have been elected by ``now``."""
        if self._confirmed_round == 0:
            return False
        return now < self._confirmed_at + self._lease_seconds

"""Bounds on the staleness of a follower's state."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from rhubarbhollow_replication.append import AppendRequest

# The rounds and reply times kept while waiting for confirmation.
MAX_OPEN_ROUNDS: Final = 64


@dataclass(frozen=True, slots=True)
class _Round:
    """A round whose send time has a lower bound on the local clock."""

    sent_after: float
    commit_index: int


class Freshness:
    """Bound the staleness of a follower without a shared clock.

    A request that echoes one of this follower's replies was sent after
    that reply, however long it was in transit. Once a later request
    reports that a quorum answered the round of the echoing request, the
    sender was the leader when it sent that round, and no other leader
    can have been elected within a lease of the reply.
    """

    def __init__(self, lease_seconds: float) -> None:
        self._lease_seconds = lease_seconds
        self._term = 0
        self._last_round = 0
        self._replied_at: OrderedDict[int, float] = OrderedDict()
        self._rounds: OrderedDict[int, _Round] = OrderedDict()
        self._proof: _Round | None = None

    def record_reply(self, term: int, round_number: int, now: float) -> None:
        """Record the time of the first reply to a round."""
        if term != self._term:
            self._term = term
            self._last_round = 0
            self._replied_at.clear()
            self._rounds.clear()
            self._proof = None
        if round_number <= self._last_round:
            # A duplicate must not move the time of the first reply.
            return
        self._last_round = round_number
        self._replied_at[round_number] = now
        _evict_oldest(self._replied_at)

    def record_request(
        self, request: AppendRequest, *, is_current: bool
    ) -> None:
        """Record an append request whose entries were accepted.

        ``is_current`` means that the entry at the request's commit
        index belongs to the leader's term. Before that, a new leader
        may not know of all committed entries.
        """
        replied_at = self._replied_at.get(request.acked_round)
        if replied_at is not None and is_current:
            proof = _Round(replied_at, request.commit_index)
            self._rounds.setdefault(request.round, proof)
            _evict_oldest(self._rounds)
        self._confirm_rounds(request.confirmed_round)

    def confirmed_at(self, applied_index: int) -> float | None:
        """Return a past time before which every commit is applied here.

        ``None`` if no such time is known.
        """
        proof = self._proof
        if proof is None or applied_index < proof.commit_index:
            return None
        return proof.sent_after

    def is_fresh(self, applied_index: int, now: float) -> bool:
        """Return whether the applied state is provably fresh.

        A fresh state is at most a lease old.
        """
        confirmed_at = self.confirmed_at(applied_index)
        if confirmed_at is None:
            return False
        return now < confirmed_at + self._lease_seconds

    def _confirm_rounds(self, confirmed_round: int) -> None:
        settled = [r for r in self._rounds if r <= confirmed_round]
        for number in settled:
            proof = self._rounds.pop(number)
            if self._proof and proof.sent_after <= self._proof.sent_after:
                continue
            self._proof = proof


def _evict_oldest(
    rounds: OrderedDict[int, float] | OrderedDict[int, _Round],
) -> None:
    while len(rounds) > MAX_OPEN_ROUNDS:
        rounds.popitem(last=False)

"""How recent the state of a follower is known to be."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from rhubarbhollow_replication.append import AppendRequest

MAX_OPEN_ROUNDS: Final = 64


@dataclass(frozen=True, slots=True)
class _Round:
    """Bound when a round was sent from below, on this clock."""

    sent_after: float
    commit_index: int


class Freshness:
    """Bound the age of a follower's state without a shared clock.

    A request that echoes one of this follower's replies was sent after
    that reply, however long it travelled. Once a later request says
    that a quorum answered its round, its sender was the leader then,
    and no other can have been elected within the lease.
    """

    def __init__(self, lease_seconds: float) -> None:
        self._lease_seconds = lease_seconds
        self._term = 0
        self._replied_at: OrderedDict[int, float] = OrderedDict()
        self._rounds: OrderedDict[int, _Round] = OrderedDict()
        self._proof: _Round | None = None

    def note_request(self, request: AppendRequest, now: float) -> None:
        """Learn from a leader's request whose entries were taken."""
        if request.term != self._term:
            self._term = request.term
            self._replied_at.clear()
            self._rounds.clear()
            self._proof = None
        replied_at = self._replied_at.get(request.acked_round)
        if replied_at is not None:
            proof = _Round(replied_at, request.commit_index)
            self._rounds.setdefault(request.round, proof)
        self._settle(request.confirmed_round)
        self._replied_at.setdefault(request.round, now)
        _bound(self._replied_at)
        _bound(self._rounds)

    def is_fresh(self, applied_index: int, now: float) -> bool:
        """Whether all that was committed a lease ago is applied."""
        proof = self._proof
        if proof is None or applied_index < proof.commit_index:
            return False
        return now < proof.sent_after + self._lease_seconds

    def _settle(self, confirmed_round: int) -> None:
        settled = [r for r in self._rounds if r <= confirmed_round]
        for number in settled:
            proof = self._rounds.pop(number)
            if self._proof and proof.sent_after <= self._proof.sent_after:
                continue
            self._proof = proof


def _bound(rounds: OrderedDict[int, float] | OrderedDict[int, _Round]) -> None:
    while len(rounds) > MAX_OPEN_ROUNDS:
        rounds.popitem(last=False)

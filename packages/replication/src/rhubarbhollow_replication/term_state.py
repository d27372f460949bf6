"""The term, the vote given in it and the leader known for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_replication.invariants import require
from rhubarbhollow_replication.vote_state import VoteState
from rhubarbhollow_replication.write import SaveVote

if TYPE_CHECKING:
    from rhubarbhollow_replication.journal import Journal
    from rhubarbhollow_replication.settings import ReplicaSettings
    from rhubarbhollow_replication.vote import VoteRequest


class TermState:
    """Vote at most once in a term and see at most one leader in it."""

    def __init__(
        self,
        settings: ReplicaSettings,
        store_id: str,
        state: VoteState,
        journal: Journal,
    ) -> None:
        self._settings = settings
        self._store_id = store_id
        self._state = state
        self._journal = journal
        self._leader: str | None = None
        self._leader_of_term: str | None = None

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def leader(self) -> str | None:
        """The leader of the current term, as far as known."""
        return self._leader

    @property
    def may_campaign(self) -> bool:
        """Whether the own vote counts in the configuration in force."""
        name = self._settings.name
        configuration = self._journal.configuration
        if not configuration.is_voting_store(name, self._store_id):
            return False
        return configuration.is_bound or self._settings.may_form_cluster

    @property
    def voted_for_self(self) -> bool:
        """Whether this replica voted for itself in this term."""
        return self._state.candidate == self._settings.name

    def advance(self, term: int) -> None:
        """Enter a newer term, in which nothing is promised yet."""
        self._leader = None
        self._save(VoteState(term))

    def start_candidacy(self) -> None:
        """Enter the next term with a vote for this replica."""
        self._leader = None
        vote = VoteState(self.term + 1, self._settings.name, self._store_id)
        self._save(vote)

    def clear_leader(self) -> None:
        """Name no leader until one is heard."""
        self._leader = None

    def set_leader(self, leader: str) -> None:
        """Name the leader of this term."""
        is_same = self._leader_of_term in (None, leader)
        require(is_same, "two leaders in one term")
        self._leader_of_term = leader
        self._leader = leader

    def may_grant(self, request: VoteRequest) -> bool:
        """Whether the vote, or the answer to a probe, is free."""
        if not self._is_vote_safe(request):
            return False
        log = self._journal.log
        offered = (request.last_term, request.last_index)
        if offered < (log.last_term, log.last_index):
            return False
        if request.is_probe:
            return request.term > self.term
        if request.term != self.term:
            return False
        return not self._state.candidate or self._state == _vote_for(request)

    def grant(self, request: VoteRequest) -> None:
        """Promise the vote of this term to a candidate's store."""
        vote = _vote_for(request)
        if vote != self._state:
            self._save(vote)

    def _is_vote_safe(self, request: VoteRequest) -> bool:
        """Whether this store knows what its member has promised."""
        configuration = self._journal.configuration
        own = configuration.find(self._settings.name)
        if own is not None and own.store_id not in ("", self._store_id):
            return False
        if request.last_index > 0 or configuration.is_bound:
            return True
        return self._settings.may_form_cluster

    def _save(self, vote: VoteState) -> None:
        current = self._state
        require(vote.term >= current.term, "term falls")
        require(
            vote.term > current.term or not current.candidate,
            "second vote in one term",
        )
        if vote.term > current.term:
            self._leader_of_term = None
        self._state = vote
        self._journal.add_write(SaveVote(vote))


def _vote_for(request: VoteRequest) -> VoteState:
    return VoteState(request.term, request.candidate, request.store_id)

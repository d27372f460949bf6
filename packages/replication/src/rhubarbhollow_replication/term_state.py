"""The current term, the vote cast in it and its known leader."""

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
    """Track the current term, the vote cast in it and its leader.

    Each term has at most one vote and at most one leader.
    """

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
        """The leader of the current term, or ``None`` if unknown."""
        return self._leader

    @property
    def may_campaign(self) -> bool:
        """Whether this replica may start an election.

        Its store must be a voter of the configuration in force.
        """
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
        """Enter a newer term without casting a vote in it."""
        self._leader = None
        self._save(VoteState(term))

    def start_candidacy(self) -> None:
        """Enter the next term and vote for this replica."""
        self._leader = None
        vote = VoteState(self.term + 1, self._settings.name, self._store_id)
        self._save(vote)

    def clear_leader(self) -> None:
        """Mark the leader of the current term as unknown."""
        self._leader = None

    def set_leader(self, leader: str) -> None:
        """Record the leader of the current term."""
        is_same = self._leader_of_term in (None, leader)
        require(is_same, "a second leader was observed in the current term")
        self._leader_of_term = leader
        self._leader = leader

    def may_grant(self, request: VoteRequest) -> bool:
        """Return whether the vote or pre-vote may be granted."""
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
        """Cast the vote of this term for a candidate's store."""
        vote = _vote_for(request)
        if vote != self._state:
            self._save(vote)

    def _is_vote_safe(self, request: VoteRequest) -> bool:
        """Return whether this store may vote safely.

        Its vote must neither be a second one nor start a second log. A
        store that replaced a lost one does not have its member's
        earlier votes, so its vote could be a second one in the same
        term. While the configuration is unbound, a vote for a candidate
        with an empty log could start a second log, so
        ``may_form_cluster`` must allow it.
        """
        configuration = self._journal.configuration
        own = configuration.find(self._settings.name)
        if own is not None and own.store_id not in ("", self._store_id):
            return False
        if request.last_index > 0 or configuration.is_bound:
            return True
        return self._settings.may_form_cluster

    def _save(self, vote: VoteState) -> None:
        current = self._state
        require(
            vote.term >= current.term, "the current term must not decrease"
        )
        require(
            vote.term > current.term or not current.candidate,
            "a second vote was cast in the current term",
        )
        if vote.term > current.term:
            self._leader_of_term = None
        self._state = vote
        self._journal.add_write(SaveVote(vote))


def _vote_for(request: VoteRequest) -> VoteState:
    return VoteState(request.term, request.candidate, request.store_id)

"""The decisions of one replica, without any I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, assert_never

from result import Err, Ok, Result

from rhubarbhollow_replication.append import AppendReply, AppendRequest
from rhubarbhollow_replication.chunk import SnapshotChunk, SnapshotReply
from rhubarbhollow_replication.configuration import (
    Configuration,
    initial_configuration,
)
from rhubarbhollow_replication.effects import Effects
from rhubarbhollow_replication.entry import Entry, EntryKind
from rhubarbhollow_replication.fault import (
    ChangeFault,
    ChangeInFlight,
    NotLeader,
)
from rhubarbhollow_replication.freshness import Freshness
from rhubarbhollow_replication.invariants import require
from rhubarbhollow_replication.journal import Journal
from rhubarbhollow_replication.leadership import Leadership
from rhubarbhollow_replication.outbox import Outbox
from rhubarbhollow_replication.plan import plan_request
from rhubarbhollow_replication.role import Role
from rhubarbhollow_replication.snapshot import Snapshot
from rhubarbhollow_replication.snapshot_receiver import SnapshotReceiver
from rhubarbhollow_replication.tally import Tally
from rhubarbhollow_replication.vote import VoteReply, VoteRequest
from rhubarbhollow_replication.vote_state import VoteState
from rhubarbhollow_replication.write import SaveVote

if TYPE_CHECKING:
    from random import Random

    from rhubarbhollow_replication.change import MembershipChange
    from rhubarbhollow_replication.messages import PeerMessage
    from rhubarbhollow_replication.recovered import Recovered
    from rhubarbhollow_replication.settings import ReplicaSettings


@dataclass(frozen=True, slots=True)
class Position:
    """Name an entry for ever: no two differ at one index and term."""

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class ReadTicket:
    """A read waits for ``round``, then for ``index`` to be applied."""

    round: int
    term: int
    index: int


class Core:
    """Vote, follow, lead and commit.

    Every method that depends on time is given it. What has to be done
    is collected and taken with ``take_effects``; after the writes are
    durable the caller calls ``handle_synced``, sends the late messages
    and applies ``take_committed``.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        recovered: Recovered,
        random: Random,
        now: float,
    ) -> None:
        self._settings = settings
        self._random = random
        self._store_id = recovered.store_id
        initial = initial_configuration(settings.initial_members)
        self._journal = Journal(recovered, initial)
        self._vote = recovered.vote
        self._outbox = Outbox()
        self._leader: str | None = None
        self._term_leader: str | None = None
        self._leadership: Leadership | None = None
        self._tally: Tally | None = None
        self._freshness = Freshness(settings.lease_seconds)
        self._receiver = SnapshotReceiver()
        self._installed: Snapshot | None = None
        self._taken_index = self._journal.commit_index
        self._written_index = self._journal.log.last_index
        # A replica that restarts may have answered a leader just before
        # and so waits as if it had: the leader's lease may still run.
        self._heard_leader_at = now
        self._election_at = 0.0
        self._restart_election_timer(now)

    @property
    def role(self) -> Role:
        """The part that this replica plays in its term."""
        if self._leadership is not None:
            return Role.LEADER
        if self._tally is not None:
            return Role.CANDIDATE
        if not self._is_voter:
            return Role.LEARNER
        return Role.FOLLOWER

    @property
    def term(self) -> int:
        """The current term."""
        return self._vote.term

    @property
    def leader(self) -> str | None:
        """The leader of the current term, as far as known."""
        return self._leader

    @property
    def store_id(self) -> str:
        """The store on which this replica's promises rest."""
        return self._store_id

    @property
    def commit_index(self) -> int:
        """The last index known to be durable on a quorum."""
        return self._journal.commit_index

    @property
    def applied_index(self) -> int:
        """The last index handed out by ``take_committed``."""
        return self._taken_index

    @property
    def last_index(self) -> int:
        """The last index of the log, durable or not."""
        return self._journal.log.last_index

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._journal.configuration

    @property
    def deadline(self) -> float:
        """When ``tick`` is next due."""
        if self._leadership is not None:
            return self._leadership.heartbeat_at
        return self._election_at

    @property
    def wants_snapshot(self) -> bool:
        """Whether the log has outgrown its limits."""
        log = self._journal.log
        count = self._taken_index - log.base_index
        if count >= self._settings.snapshot_after_entries:
            return True
        limit = self._settings.snapshot_after_bytes
        return count > 0 and log.payload_bytes >= limit

    @property
    def confirmed_at(self) -> float | None:
        """A past time; what was acknowledged before is applied."""
        if self._leadership is None:
            return self._freshness.confirmed_at(self._taken_index)
        if self._journal.log.term_at(self._taken_index) != self.term:
            return None
        return self._leadership.lease.confirmed_at

    @property
    def _is_voter(self) -> bool:
        return self.configuration.is_voting_store(
            self._settings.name, self._store_id
        )

    @property
    def _is_forming_barred(self) -> bool:
        """Whether an empty store may not help to start a history."""
        if self.configuration.is_bound:
            return False
        return not self._settings.may_form_cluster

    def leads(self, term: int) -> bool:
        """Whether this replica is the leader of ``term``."""
        return self._leadership is not None and self.term == term

    def has_lease(self, now: float) -> bool:
        """Whether this replica leads and no other can by ``now``."""
        if self._leadership is None:
            return False
        return self._leadership.lease.is_live(now)

    def is_fresh(self, now: float) -> bool:
        """Whether all that was committed a lease ago is applied."""
        if self._leadership is None:
            return self._freshness.is_fresh(self._taken_index, now)
        journal = self._journal
        has_own = journal.log.term_at(self._taken_index) == self.term
        return has_own and self.has_lease(now)

    def match_index(self, name: str) -> int:
        """Return what is durable at a member, as far as known here."""
        if name == self._settings.name:
            return self._journal.synced_index
        if self._leadership is None or name not in self._leadership.peers:
            return 0
        return self._leadership.peers[name].match_index

    def is_alive(self, name: str, now: float) -> bool:
        """Whether this leader heard a member's bound store lately."""
        if name == self._settings.name:
            return True
        member = self.configuration.find(name)
        if self._leadership is None or member is None:
            return False
        return self._leadership.view(now).is_alive(member)

    def tick(self, now: float) -> None:
        """Do what time alone calls for."""
        if self._leadership is not None:
            self._tick_leader(self._leadership, now)
            return
        if now >= self._election_at:
            self._restart_election_timer(now)
            self._start_election(now, is_probe=True)

    def handle(self, message: PeerMessage, now: float) -> None:
        """Take in a message from a peer."""
        match message:
            case VoteRequest():
                self._handle_vote_request(message, now)
            case VoteReply():
                self._handle_vote_reply(message, now)
            case AppendRequest():
                self._handle_append(message, now)
            case SnapshotChunk():
                self._handle_chunk(message, now)
            case AppendReply() | SnapshotReply():
                self._handle_follower_reply(message, now)
            case _:
                assert_never(message)

    def propose(
        self, payload: bytes, now: float
    ) -> Result[Position, NotLeader]:
        """Append a command if this replica leads."""
        if self._leadership is None:
            return Err(NotLeader(self._leader))
        index = self._leadership.append(EntryKind.COMMAND, payload, now)
        return Ok(Position(index, self.term))

    def change_membership(
        self, change: MembershipChange, now: float
    ) -> Result[Position, ChangeFault]:
        """Append a configuration that differs in one member."""
        leadership = self._leadership
        if leadership is None:
            return Err(NotLeader(self._leader))
        if not leadership.may_change_membership:
            return Err(ChangeInFlight())
        planned = plan_request(leadership.view(now), change)
        if isinstance(planned, Err):
            return planned
        payload = planned.ok_value.encode()
        index = leadership.append(EntryKind.CONFIG, payload, now)
        return Ok(Position(index, self.term))

    def begin_read(self, now: float) -> Result[ReadTicket, NotLeader]:
        """Start a round that proves this replica still leads."""
        leadership = self._leadership
        commit_index = self.commit_index
        if leadership is None:
            return Err(NotLeader(self._leader))
        if self._journal.log.term_at(commit_index) != self.term:
            # Earlier terms may have committed more than is known here.
            return Err(NotLeader(None))
        number = leadership.begin_round(now)
        return Ok(ReadTicket(number, self.term, commit_index))

    def is_read_confirmed(self, ticket: ReadTicket) -> bool | None:
        """Whether a quorum answered; None if that can no longer be."""
        if self._leadership is None or self.term != ticket.term:
            return None
        return self._leadership.lease.confirmed_round >= ticket.round

    def take_effects(self, now: float) -> Effects:
        """Return what has to be done, and forget it."""
        if self._leadership is not None:
            self._leadership.flush(now)
        writes = self._journal.take_writes()
        sends = self._outbox.take()
        self._written_index = self._journal.log.last_index
        if any(isinstance(write, SaveVote) for write in writes):
            # Nothing of a term leaves before the term is durable.
            return Effects((), writes, sends)
        early = tuple(send for send in sends if send.is_early)
        late = tuple(send for send in sends if not send.is_early)
        return Effects(early, writes, late)

    def handle_synced(self) -> None:
        """Count the writes of the last taken effects as durable."""
        journal = self._journal
        journal.synced_index = min(self._written_index, self.last_index)
        self._advance_commit()

    def take_committed(self) -> tuple[Entry | Snapshot, ...]:
        """Return what to apply or restore now, in order.

        Only what is durable here as well is released, so that a crash
        never leaves the state machine ahead of its log.
        """
        items: list[Entry | Snapshot] = []
        journal = self._journal
        if self._installed is not None:
            items.append(self._installed)
            self._taken_index = self._installed.last_index
            self._installed = None
        last = min(journal.commit_index, journal.synced_index)
        if last > self._taken_index:
            items.extend(journal.log.read(self._taken_index + 1, last))
            self._taken_index = last
        return tuple(items)

    def compact(self, data: bytes) -> None:
        """Let the state machine's snapshot replace the log so far."""
        index = self._taken_index
        term = self._journal.log.term_at(index) or 0
        configuration = self._journal.memberships.at(index)
        self._journal.compact(Snapshot(index, term, configuration, data))

    def _tick_leader(self, leadership: Leadership, now: float) -> None:
        timeout = self._settings.election_timeout_seconds
        if now - leadership.lease.confirmed_at > timeout:
            self._follow(self.term, None, now)
            return
        leadership.tick(now)
        self._advance_commit()

    def _start_election(self, now: float, *, is_probe: bool) -> None:
        if not self._is_voter or self._is_forming_barred:
            return
        name = self._settings.name
        self._leader = None
        if not is_probe:
            self._save_vote(VoteState(self.term + 1, name, self._store_id))
        term = self.term + is_probe
        self._tally = Tally(term, is_probe, {name: self._store_id})
        request = VoteRequest(
            term=term,
            candidate=name,
            last_index=self._journal.log.last_index,
            last_term=self._journal.log.last_term,
            is_probe=is_probe,
            store_id=self._store_id,
        )
        for voter in self.configuration.voters:
            if voter.name != name:
                self._outbox.add(voter.name, request)
        self._count_votes(self._tally, now)

    def _handle_vote_request(self, request: VoteRequest, now: float) -> None:
        if self._is_leader_recent(now):
            self._answer_vote(request, is_granted=False)
            return
        if not request.is_probe and request.term > self.term:
            self._follow(request.term, None, now)
        is_granted = self._may_vote_for(request)
        if is_granted and not request.is_probe:
            vote = VoteState(request.term, request.candidate, request.store_id)
            if vote != self._vote:
                self._save_vote(vote)
            self._restart_election_timer(now)
        self._answer_vote(request, is_granted=is_granted)

    def _is_leader_recent(self, now: float) -> bool:
        """Whether a leader may hold a lease that rests on this one."""
        if self._leadership is not None:
            return self._leadership.lease.is_live(now)
        timeout = self._settings.election_timeout_seconds
        return now < self._heard_leader_at + timeout

    def _may_vote_for(self, request: VoteRequest) -> bool:
        own = self.configuration.find(self._settings.name)
        if own is not None and own.store_id not in ("", self._store_id):
            # This store does not remember what the bound one promised.
            return False
        if request.last_index == 0 and self._is_forming_barred:
            return False
        log = self._journal.log
        offered = (request.last_term, request.last_index)
        if offered < (log.last_term, log.last_index):
            return False
        if request.is_probe:
            return request.term > self.term
        if request.term != self.term:
            return False
        asked = VoteState(request.term, request.candidate, request.store_id)
        return not self._vote.candidate or self._vote == asked

    def _answer_vote(self, request: VoteRequest, *, is_granted: bool) -> None:
        reply = VoteReply(
            term=request.term if is_granted else self.term,
            voter=self._settings.name,
            is_granted=is_granted,
            is_probe=request.is_probe,
            store_id=self._store_id,
        )
        self._outbox.add(request.candidate, reply)

    def _handle_vote_reply(self, reply: VoteReply, now: float) -> None:
        tally = self._tally
        if not reply.is_granted and reply.term > self.term:
            self._follow(reply.term, None, now)
            return
        if tally is None or not reply.is_granted:
            return
        if (reply.term, reply.is_probe) != (tally.term, tally.is_probe):
            return
        if self.configuration.is_voting_store(reply.voter, reply.store_id):
            tally.store_ids[reply.voter] = reply.store_id
            self._count_votes(tally, now)

    def _count_votes(self, tally: Tally, now: float) -> None:
        if not self.configuration.is_quorum(tally.store_ids):
            return
        if tally.is_probe:
            self._start_election(now, is_probe=False)
            return
        self._lead(tally, now)

    def _lead(self, tally: Tally, now: float) -> None:
        require(tally.term == self.term, "elected in another term")
        require(
            self._vote.candidate == self._settings.name,
            "elected without the own vote",
        )
        self._tally = None
        self._note_leader(self._settings.name)
        leadership = Leadership(
            self._settings,
            self._store_id,
            self.term,
            self._journal,
            self._outbox,
            now,
        )
        self._leadership = leadership
        if self.configuration.is_bound:
            leadership.append(EntryKind.NOOP, b"", now)
            return
        bound = self.configuration.bind(tally.store_ids)
        leadership.append(EntryKind.CONFIG, bound.encode(), now)

    def _handle_append(self, request: AppendRequest, now: float) -> None:
        if not self._accept_leader(request.term, request.leader, now):
            self._answer_append(request, self.last_index, is_success=False)
            return
        self._freshness.note_reply(request.term, request.round, now)
        log = self._journal.log
        if request.previous_index > log.last_index:
            self._answer_append(request, log.last_index, is_success=False)
            return
        held_term = log.term_at(request.previous_index)
        if held_term not in (None, request.previous_term):
            hint = log.first_of_term(request.previous_index) - 1
            hint = max(hint, self.commit_index)
            self._answer_append(request, hint, is_success=False)
            return
        self._journal.merge(request.entries)
        last_index = request.previous_index + len(request.entries)
        self._journal.commit(min(request.commit_index, last_index))
        is_current = log.term_at(request.commit_index) == request.term
        self._freshness.note_request(request, is_current=is_current)
        self._answer_append(request, last_index, is_success=True)

    def _answer_append(
        self, request: AppendRequest, match_index: int, *, is_success: bool
    ) -> None:
        reply = AppendReply(
            term=self.term,
            follower=self._settings.name,
            is_success=is_success,
            match_index=match_index,
            round=request.round,
            store_id=self._store_id,
        )
        self._outbox.add(request.leader, reply)

    def _handle_chunk(self, chunk: SnapshotChunk, now: float) -> None:
        if not self._accept_leader(chunk.term, chunk.leader, now):
            return
        self._freshness.note_reply(chunk.term, chunk.round, now)
        snapshot = self._receiver.add(chunk)
        if snapshot is not None and snapshot.last_index > self.commit_index:
            self._journal.install(snapshot)
            self._installed = snapshot
        if chunk.last_index > self.commit_index:
            self._outbox.add(chunk.leader, self._ask_for_chunk(chunk))
            return
        reply = AppendReply(
            term=self.term,
            follower=self._settings.name,
            is_success=True,
            match_index=self.commit_index,
            round=chunk.round,
            store_id=self._store_id,
        )
        self._outbox.add(chunk.leader, reply)

    def _ask_for_chunk(self, chunk: SnapshotChunk) -> SnapshotReply:
        return SnapshotReply(
            term=self.term,
            follower=self._settings.name,
            last_index=chunk.last_index,
            offset=self._receiver.offset,
            round=chunk.round,
            store_id=self._store_id,
        )

    def _handle_follower_reply(
        self, reply: AppendReply | SnapshotReply, now: float
    ) -> None:
        if reply.term > self.term:
            self._follow(reply.term, None, now)
            return
        if self._leadership is None or reply.term < self.term:
            return
        if isinstance(reply, AppendReply):
            self._leadership.handle_append_reply(reply, now)
            self._advance_commit()
            return
        self._leadership.handle_snapshot_reply(reply, now)

    def _accept_leader(self, term: int, leader: str, now: float) -> bool:
        if term < self.term:
            return False
        if term > self.term or self._leadership is None:
            self._follow(term, leader, now)
        self._note_leader(leader)
        self._heard_leader_at = now
        self._restart_election_timer(now)
        return True

    def _note_leader(self, leader: str) -> None:
        is_same = self._term_leader in (None, leader)
        require(is_same, "two leaders in one term")
        self._term_leader = leader
        self._leader = leader

    def _follow(self, term: int, leader: str | None, now: float) -> None:
        """Give up leading or standing; move to a newer ``term``."""
        if term > self.term:
            self._leader = None
            self._save_vote(VoteState(term))
        if self._leadership is not None:
            self._leader = None
            self._restart_election_timer(now)
        self._leadership = None
        self._tally = None
        if leader is not None:
            self._note_leader(leader)

    def _save_vote(self, vote: VoteState) -> None:
        current = self._vote
        require(vote.term >= current.term, "term falls")
        require(
            vote.term > current.term or not current.candidate,
            "second vote in one term",
        )
        if vote.term > current.term:
            self._term_leader = None
        self._vote = vote
        self._journal.add_write(SaveVote(vote))

    def _advance_commit(self) -> None:
        if self._leadership is None:
            return
        if self._journal.commit(self._leadership.find_committed()):
            self._leadership.note_commit()

    def _restart_election_timer(self, now: float) -> None:
        timeout = self._settings.election_timeout_seconds
        self._election_at = now + timeout * (1 + self._random.random())

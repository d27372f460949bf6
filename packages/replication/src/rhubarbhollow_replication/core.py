"""The consensus state machine of one replica, without any I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, assert_never

from result import Err, Ok, Result

from rhubarbhollow_replication.append import AppendReply, AppendRequest
from rhubarbhollow_replication.chunk import SnapshotChunk, SnapshotReply
from rhubarbhollow_replication.configuration import (
    Configuration,
    founding_configuration,
    initial_configuration,
)
from rhubarbhollow_replication.effects import Effects
from rhubarbhollow_replication.entry import Entry, EntryKind
from rhubarbhollow_replication.fault import (
    ChangeFault,
    ChangeInFlight,
    NotLeader,
)
from rhubarbhollow_replication.follower import Follower
from rhubarbhollow_replication.invariants import require
from rhubarbhollow_replication.journal import Journal
from rhubarbhollow_replication.leadership import Leadership
from rhubarbhollow_replication.leave import LeaveRequest
from rhubarbhollow_replication.outbox import Outbox
from rhubarbhollow_replication.plan import plan_request
from rhubarbhollow_replication.role import Role
from rhubarbhollow_replication.round_tag import generate_tag
from rhubarbhollow_replication.snapshot import Snapshot
from rhubarbhollow_replication.snapshot_receiver import MAX_SNAPSHOT_BYTES
from rhubarbhollow_replication.tally import Tally
from rhubarbhollow_replication.term_state import TermState
from rhubarbhollow_replication.vacancy import Vacancy
from rhubarbhollow_replication.vote import VoteReply, VoteRequest
from rhubarbhollow_replication.write import SaveVote

if TYPE_CHECKING:
    from random import Random

    from rhubarbhollow_replication.membership_change import MembershipChange
    from rhubarbhollow_replication.messages import PeerMessage
    from rhubarbhollow_replication.recovered_state import RecoveredState
    from rhubarbhollow_replication.settings import ReplicaSettings


# Interval of the probes by which a replica that has just started asks
# whether any member holds a lease, as a share of the election timeout.
STARTUP_PROBE_RATIO: Final = 1 / 6


@dataclass(frozen=True, slots=True)
class Position:
    """Unique identifier of a log entry.

    Entries with the same index and term are identical.
    """

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class ReadTicket:
    """A linearizable read that waits to be confirmed.

    The read may be served once a quorum has answered ``round`` and
    ``index`` is applied, which is an entry of the leader's own term or
    a later one: until such an entry is committed, a leader may not know
    of every entry committed in earlier terms.
    """

    round: int
    term: int
    index: int


class Core:
    """Run elections, replication and commitment for one replica.

    Methods that depend on time take the current time as an argument.
    The caller performs the I/O: it collects the pending writes and
    messages with ``take_effects`` and makes the writes durable. It then
    calls ``handle_synced``, sends the remaining messages and applies
    the result of ``take_committed``.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        recovered: RecoveredState,
        random: Random,
        now: float,
    ) -> None:
        self._settings = settings
        self._random = random
        self._store_id = recovered.store_id
        initial = (
            founding_configuration(recovered.founders)
            if recovered.founders
            else initial_configuration(settings.initial_members)
        )
        self._journal = Journal(recovered, initial)
        self._outbox = Outbox()
        self._term_state = TermState(
            settings, self._store_id, recovered.vote, self._journal
        )
        self._follower = Follower(
            settings,
            self._store_id,
            self._journal,
            self._outbox,
            generate_tag(random),
            now,
        )
        self._leadership: Leadership | None = None
        self._tally: Tally | None = None
        self._vacancy = Vacancy()
        self._installed_snapshot: Snapshot | None = None
        self._delivered_index = self._journal.commit_index
        self._written_index = self._journal.log.last_index
        self._election_at = 0.0
        self._startup_probe_at = 0.0
        self._leave_request_at = math.inf
        self._restart_election_timer(now)
        self._schedule_startup_probe(now)

    @property
    def role(self) -> Role:
        """The role of this replica in its term."""
        if self._leadership is not None:
            return Role.LEADER
        if self._tally is not None:
            return Role.CANDIDATE
        name = self._settings.name
        if not self.configuration.is_voting_store(name, self._store_id):
            return Role.LEARNER
        return Role.FOLLOWER

    @property
    def term(self) -> int:
        """The current term."""
        return self._term_state.term

    @property
    def leader(self) -> str | None:
        """The leader of the current term, or ``None`` if unknown."""
        return self._term_state.leader

    @property
    def store_id(self) -> str:
        """The ID of the store with this replica's votes and log."""
        return self._store_id

    @property
    def commit_index(self) -> int:
        """The last index known to be durable on a quorum."""
        return self._journal.commit_index

    @property
    def applied_index(self) -> int:
        """The last index returned by ``take_committed``."""
        return self._delivered_index

    @property
    def last_index(self) -> int:
        """The last index of the log, durable or not."""
        return self._journal.log.last_index

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._journal.configuration

    @property
    def missing_voters(self) -> tuple[str, ...]:
        """The voters that have not granted the ongoing election.

        It is empty if this replica is not a candidate.
        """
        if self._tally is None:
            return ()
        granted = self._tally.store_ids
        return tuple(
            voter.name
            for voter in self.configuration.voters
            if voter.name not in granted
        )

    @property
    def deadline(self) -> float:
        """The time at which ``tick`` is next due."""
        if self._leadership is not None:
            return self._leadership.heartbeat_at
        return min(
            self._election_at, self._startup_probe_at, self._leave_request_at
        )

    @property
    def needs_snapshot(self) -> bool:
        """Whether the log exceeds its limits for compaction."""
        log = self._journal.log
        count = self._delivered_index - log.base_index
        if count >= self._settings.snapshot_after_entries:
            return True
        limit = self._settings.snapshot_after_bytes
        return count > 0 and log.payload_bytes >= limit

    @property
    def confirmed_at(self) -> float | None:
        """A past time before which every acknowledged entry is applied.

        ``None`` if no such time is known.
        """
        if self._leadership is None:
            return self._follower.freshness.confirmed_at(self._delivered_index)
        if self._journal.log.term_at(self._delivered_index) != self.term:
            return None
        return self._leadership.lease.confirmed_at

    def is_leader_of(self, term: int) -> bool:
        """Return whether this replica is the leader of ``term``."""
        return self._leadership is not None and self.term == term

    def has_lease(self, now: float) -> bool:
        """Return whether this replica holds the lease at ``now``.

        While it does, no other replica can become leader.
        """
        if self._leadership is None:
            return False
        return self._leadership.lease.is_live(now)

    def is_fresh(self, now: float) -> bool:
        """Return whether the applied state is provably fresh.

        A fresh state is at most a lease old.
        """
        if self._leadership is None:
            return self._follower.freshness.is_fresh(
                self._delivered_index, now
            )
        journal = self._journal
        has_own = journal.log.term_at(self._delivered_index) == self.term
        return has_own and self.has_lease(now)

    def match_index(self, name: str) -> int:
        """Return the highest index known to be durable at a member.

        Zero if unknown; only the leader knows it for other members.
        """
        if name == self._settings.name:
            return self._journal.synced_index
        if self._leadership is None or name not in self._leadership.peers:
            return 0
        return self._leadership.peers[name].match_index

    def is_alive(self, name: str, now: float) -> bool:
        """Return whether a member has recently contacted this leader.

        Only replies from the store bound to the member count. A learner
        that was just added counts as alive before its first reply.
        """
        if name == self._settings.name:
            return True
        member = self.configuration.find(name)
        if self._leadership is None or member is None:
            return False
        return self._leadership.view(now).is_alive(member)

    def awaits_successor(self, now: float) -> bool:
        """Return whether this replica's vote may still move elsewhere.

        Only a leader knows which learners are alive, so on other
        replicas any learner counts.
        """
        configurations = self._journal.configurations
        if configurations.index > self.commit_index:
            return True
        if self.role is Role.LEARNER:
            return False
        target = self._settings.voter_target
        if 0 < target < len(self.configuration.voters):
            return True
        members = self.configuration.members
        learners = [member for member in members if not member.is_voter]
        if self._leadership is None:
            return bool(learners)
        view = self._leadership.view(now)
        return any(view.is_alive(learner) for learner in learners)

    def begin_leaving(self, now: float) -> None:
        """Ask for a successor, as this replica is about to stop.

        It does not campaign any more, and hands its vote to a learner
        that has caught up, if there is one.
        """
        self._leave_request_at = now
        if self._leadership is not None:
            self._leadership.begin_leaving()

    def tick(self, now: float) -> None:
        """Perform timed work such as elections and heartbeats."""
        if self._leadership is not None:
            self._tick_leader(self._leadership, now)
            return
        if now >= self._leave_request_at:
            self._request_successor(now)
        if now >= self._election_at:
            self._restart_election_timer(now)
            self._start_election(now, is_probe=True)
        elif now >= self._startup_probe_at:
            self._probe_after_start(now)

    def handle(self, message: PeerMessage, now: float) -> None:
        """Process a message from a peer."""
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
            case LeaveRequest(member):
                if self._leadership is not None:
                    self._leadership.record_leaving(member, now)
            case _:
                assert_never(message)

    def propose(
        self, payload: bytes, now: float
    ) -> Result[Position, NotLeader]:
        """Append a command if this replica is the leader."""
        if self._leadership is None:
            return Err(NotLeader(self.leader))
        index = self._leadership.append(EntryKind.COMMAND, payload, now)
        return Ok(Position(index, self.term))

    def change_membership(
        self, change: MembershipChange, now: float
    ) -> Result[Position, ChangeFault]:
        """Append a configuration that changes a single member."""
        leadership = self._leadership
        if leadership is None:
            return Err(NotLeader(self.leader))
        if not leadership.may_change_membership:
            return Err(ChangeInFlight())
        planned = plan_request(leadership.view(now), change)
        if isinstance(planned, Err):
            return planned
        payload = planned.ok_value.encode()
        index = leadership.append(EntryKind.CONFIG, payload, now)
        return Ok(Position(index, self.term))

    def begin_read(self) -> Result[ReadTicket, NotLeader]:
        """Request a round that confirms the leadership for a read."""
        leadership = self._leadership
        if leadership is None:
            return Err(NotLeader(self.leader))
        index = max(self.commit_index, leadership.first_index)
        number = leadership.request_round()
        return Ok(ReadTicket(number, self.term, index))

    def is_read_confirmed(self, ticket: ReadTicket) -> bool | None:
        """Return whether a quorum has answered the round of a read.

        ``None`` if it no longer can because the term has ended.
        """
        if self._leadership is None or self.term != ticket.term:
            return None
        return self._leadership.lease.confirmed_round >= ticket.round

    def take_effects(self, now: float) -> Effects:
        """Return the pending writes and messages and clear them."""
        if self._leadership is not None:
            self._leadership.flush(now)
            if self._leadership.is_retired:
                self._become_follower(self.term, now)
        writes = self._journal.take_writes()
        sends = self._outbox.take()
        self._written_index = self._journal.log.last_index
        if any(isinstance(write, SaveVote) for write in writes):
            # No message may be sent before its term is durable.
            return Effects((), writes, sends)
        before_sync = tuple(send for send in sends if send.may_precede_sync)
        after_sync = tuple(send for send in sends if not send.may_precede_sync)
        return Effects(before_sync, writes, after_sync)

    def handle_synced(self) -> None:
        """Mark the writes of the last taken effects as durable."""
        self._journal.mark_synced(self._written_index)
        self._advance_commit()

    def take_committed(self) -> tuple[Entry | Snapshot, ...]:
        """Return the entries to apply or snapshot to restore, in order.

        Entries must also be durable on this replica, so that a crash
        never leaves the state machine ahead of its log.
        """
        items: list[Entry | Snapshot] = []
        journal = self._journal
        if self._installed_snapshot is not None:
            items.append(self._installed_snapshot)
            self._delivered_index = self._installed_snapshot.last_index
            self._installed_snapshot = None
        last = min(journal.commit_index, journal.synced_index)
        if last > self._delivered_index:
            items.extend(journal.log.read(self._delivered_index + 1, last))
            self._delivered_index = last
        return tuple(items)

    def compact(self, data: bytes) -> None:
        """Replace the applied log prefix with ``data``, a snapshot."""
        require(
            len(data) < MAX_SNAPSHOT_BYTES,
            "snapshot must be smaller than MAX_SNAPSHOT_BYTES",
        )
        index = self._delivered_index
        term = self._journal.log.term_at(index) or 0
        configuration = self._journal.configurations.at(index)
        self._journal.compact(Snapshot(index, term, configuration, data))

    def _tick_leader(self, leadership: Leadership, now: float) -> None:
        timeout = self._settings.election_timeout_seconds
        if now - leadership.lease.confirmed_at > timeout:
            self._become_follower(self.term, now)
            return
        leadership.tick(now)
        self._advance_commit()

    def _request_successor(self, now: float) -> None:
        interval = self._settings.heartbeat_seconds
        self._leave_request_at = now + interval
        if self.leader is not None:
            self._outbox.add(self.leader, LeaveRequest(self._settings.name))

    def _probe_after_start(self, now: float) -> None:
        """Ask all members for leases that this process doesn't know.

        Without the answers of all, the regular election follows once
        no lease can be live.
        """
        self._schedule_startup_probe(now)
        is_over = not self._follower.may_back_lease(now)
        if is_over or self._follower.backs_lease(now):
            self._startup_probe_at = math.inf
        elif self.configuration.is_bound:
            self._start_election(now, is_probe=True)

    def _schedule_startup_probe(self, now: float) -> None:
        interval = self._settings.election_timeout_seconds
        interval *= STARTUP_PROBE_RATIO
        self._startup_probe_at = now + interval * (0.5 + self._random.random())

    def _start_election(
        self, now: float, *, is_probe: bool, is_vacant: bool = False
    ) -> None:
        is_leaving = self._leave_request_at < math.inf
        if is_leaving or not self._term_state.may_campaign:
            return
        name = self._settings.name
        self._term_state.clear_leader()
        if is_probe:
            self._vacancy.begin_round()
        else:
            self._term_state.start_candidacy()
        term = self.term + is_probe
        self._tally = Tally(term, is_probe, {name: self._store_id})
        request = VoteRequest(
            term=term,
            candidate=name,
            last_index=self._journal.log.last_index,
            last_term=self._journal.log.last_term,
            is_probe=is_probe,
            store_id=self._store_id,
            probe_round=self._vacancy.round,
            is_vacant=is_vacant,
        )
        for member in self.configuration.members:
            # Learners have no vote, but one may lead by a configuration
            # that this replica doesn't have yet.
            is_asked = member.is_voter or is_probe
            if member.name != name and is_asked:
                self._outbox.add(member.name, request)
        self._count_votes(self._tally, now)

    def _handle_vote_request(self, request: VoteRequest, now: float) -> None:
        may_be_leased = self._is_leader_recent(now)
        if may_be_leased and not self._is_vacancy_proved(request, now):
            self._send_vote_reply(request, now, is_granted=False)
            return
        if not request.is_probe and request.term > self.term:
            self._become_follower(request.term, now)
        is_granted = self._term_state.may_grant(request)
        if is_granted and not request.is_probe:
            self._term_state.grant(request)
            self._restart_election_timer(now)
        self._send_vote_reply(request, now, is_granted=is_granted)

    def _is_leader_recent(self, now: float) -> bool:
        """Return whether votes must be refused because of a lease."""
        if self._leadership is not None:
            return self._leadership.lease.is_live(now)
        return self._follower.may_back_lease(now)

    def _is_vacancy_proved(self, request: VoteRequest, now: float) -> bool:
        """Return whether every member has denied a live lease."""
        return (
            request.is_vacant
            and self._knows_no_lease(now)
            and self._vacancy.has_confirmed(
                request.candidate, request.probe_round
            )
        )

    def _knows_no_lease(self, now: float) -> bool:
        """Return whether this process holds and backs no lease."""
        return self._leadership is None and not self._follower.backs_lease(now)

    def _send_vote_reply(
        self, request: VoteRequest, now: float, *, is_granted: bool
    ) -> None:
        holds_no_lease = (
            request.is_probe
            and self._knows_no_lease(now)
            and self._term_state.may_grant(request)
        )
        if holds_no_lease:
            self._vacancy.note_confirmed(
                request.candidate, request.probe_round
            )
        reply = VoteReply(
            term=request.term if is_granted else self.term,
            voter=self._settings.name,
            is_granted=is_granted,
            is_probe=request.is_probe,
            store_id=self._store_id,
            probe_round=request.probe_round,
            holds_no_lease=holds_no_lease,
        )
        self._outbox.add(request.candidate, reply)

    def _handle_vote_reply(self, reply: VoteReply, now: float) -> None:
        tally = self._tally
        if not reply.is_granted and reply.term > self.term:
            self._become_follower(reply.term, now)
            return
        if tally is not None and tally.is_probe and reply.holds_no_lease:
            self._count_without_lease(reply, now)
        if tally is not self._tally or tally is None or not reply.is_granted:
            return
        if (reply.term, reply.is_probe) != (tally.term, tally.is_probe):
            return
        if self.configuration.is_voting_store(reply.voter, reply.store_id):
            tally.store_ids[reply.voter] = reply.store_id
            self._count_votes(tally, now)

    def _count_without_lease(self, reply: VoteReply, now: float) -> None:
        self._vacancy.record_answer(reply.voter, reply.probe_round)
        name = self._settings.name
        others = [m.name for m in self.configuration.members if m.name != name]
        if self._vacancy.is_proved(others) and self._knows_no_lease(now):
            self._start_election(now, is_probe=False, is_vacant=True)

    def _count_votes(self, tally: Tally, now: float) -> None:
        if not self.configuration.is_quorum(tally.store_ids):
            return
        if tally.is_probe:
            self._start_election(now, is_probe=False)
            return
        self._become_leader(tally, now)

    def _become_leader(self, tally: Tally, now: float) -> None:
        require(
            tally.term == self.term,
            "the election was won for a term other than the current one",
        )
        require(
            self._term_state.voted_for_self,
            "the election was won without this replica's own vote",
        )
        self._tally = None
        self._term_state.set_leader(self._settings.name)
        leadership = Leadership(
            self._settings,
            self._store_id,
            self.term,
            self._journal,
            self._outbox,
            now,
        )
        self._leadership = leadership
        if self.configuration.is_bound and self.last_index > 0:
            leadership.append(EntryKind.NOOP, b"", now)
            return
        bound = self.configuration.bind(tally.store_ids)
        leadership.append(EntryKind.CONFIG, bound.encode(), now)

    def _handle_append(self, request: AppendRequest, now: float) -> None:
        if request.term < self.term:
            self._follower.reject(request, self.term, self.last_index)
            return
        self._accept_leader(request, now)
        self._follower.handle_append(request)

    def _handle_chunk(self, chunk: SnapshotChunk, now: float) -> None:
        if chunk.term < self.term:
            return
        self._accept_leader(chunk, now)
        self._installed_snapshot = (
            self._follower.handle_chunk(chunk) or self._installed_snapshot
        )

    def _accept_leader(
        self, request: AppendRequest | SnapshotChunk, now: float
    ) -> None:
        if request.term > self.term or self._leadership is None:
            self._become_follower(request.term, now)
        self._term_state.set_leader(request.leader)
        self._follower.record_leader_contact(request.term, request.round, now)
        self._restart_election_timer(now)

    def _handle_follower_reply(
        self, reply: AppendReply | SnapshotReply, now: float
    ) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, now)
            return
        if self._leadership is None or reply.term < self.term:
            return
        if isinstance(reply, AppendReply):
            self._leadership.handle_append_reply(reply, now)
            self._advance_commit()
            return
        self._leadership.handle_snapshot_reply(reply, now)

    def _become_follower(self, term: int, now: float) -> None:
        """Become a follower, entering ``term`` if it is newer."""
        if term > self.term:
            self._term_state.advance(term)
        if self._leadership is not None:
            self._term_state.clear_leader()
            self._restart_election_timer(now)
        self._leadership = None
        self._tally = None

    def _advance_commit(self) -> None:
        if self._leadership is None:
            return
        if self._journal.commit(self._leadership.find_committed()):
            self._leadership.request_round()

    def _restart_election_timer(self, now: float) -> None:
        timeout = self._settings.election_timeout_seconds
        self._election_at = now + timeout * (1 + self._random.random())

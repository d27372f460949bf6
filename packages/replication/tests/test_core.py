"""Tests of voting, leases, lost disks and membership changes."""

from __future__ import annotations

from random import Random

import pytest
from result import Err, Ok

from rhubarbhollow_replication.append import AppendReply, AppendRequest
from rhubarbhollow_replication.configuration import Configuration
from rhubarbhollow_replication.core import Core, Position
from rhubarbhollow_replication.entry import Entry, EntryKind
from rhubarbhollow_replication.fault import (
    ChangeInFlight,
    NotLeader,
    OutcomeUnknown,
)
from rhubarbhollow_replication.invariants import InvariantViolation
from rhubarbhollow_replication.leave import LeaveRequest
from rhubarbhollow_replication.member import (
    FOUNDING_STORE_ID,
    Member,
    MemberRole,
)
from rhubarbhollow_replication.membership_change import (
    AddLearner,
    RemoveMember,
)
from rhubarbhollow_replication.pending import PendingProposal, PendingRead
from rhubarbhollow_replication.recovered_state import RecoveredState
from rhubarbhollow_replication.request_tracker import RequestTracker
from rhubarbhollow_replication.role import Role
from rhubarbhollow_replication.settings import ReplicaSettings
from rhubarbhollow_replication.snapshot import Snapshot
from rhubarbhollow_replication.vote import VoteReply, VoteRequest
from rhubarbhollow_replication.vote_state import VoteState
from rhubarbhollow_replication.write import SaveEntries, SaveVote

NAMES = ("a", "b", "c")
STEP_SECONDS = 0.01
TIMEOUT_SECONDS = 0.3
BOUND = Configuration(
    tuple(Member(n, f"{n}1", MemberRole.VOTER) for n in NAMES)
)


def settings_of(name, members=NAMES, **options):
    return ReplicaSettings(name, members, 300, 60, **options)


# Settings of a start that is not the first one.
RESTARTED = {"members": (), "may_form_cluster": False, "wanted_voters": 3}


def core_with(
    name,
    *,
    term=0,
    entries=(),
    snapshot=None,
    store_id=None,
    now=0.0,
    random=None,
    **options,
):
    recovered = RecoveredState(
        store_id or f"{name}1", VoteState(term), snapshot, tuple(entries)
    )
    random = random or Random(name)
    return Core(settings_of(name, **options), recovered, random, now)


def log_of(*terms):
    """Return a CONFIG entry and commands with the given terms."""
    first = Entry(1, terms[0], EntryKind.CONFIG, BOUND.encode())
    return (
        first,
        *(
            Entry(index, term, EntryKind.COMMAND, b"%d" % index)
            for index, term in enumerate(terms[1:], start=2)
        ),
    )


def vote_request(term=9, candidate="c", last=(0, 0), is_probe=False):
    last_term, last_index = last
    return VoteRequest(
        term, candidate, last_index, last_term, is_probe, f"{candidate}1"
    )


def append_request(term=1, leader="b", entries=(), commit=0, previous=(0, 0)):
    previous_term, previous_index = previous
    return AppendRequest(
        *(term, leader, previous_index, previous_term, tuple(entries)),
        *(commit, 1, 0, 0, f"{leader}1"),
    )


def answers(core, now):
    effects = core.take_effects(now)
    core.handle_synced()
    core.take_committed()
    return [
        send.message
        for send in (*effects.sends_before_sync, *effects.sends_after_sync)
    ]


class Cluster:
    """Cores with instant writes, connected by direct calls."""

    def __init__(self, names=NAMES, **options):
        self.options = options
        self.now = 0.0
        self.cut_links = set()
        self.down = set()
        self.durable = {}
        self.cores = {}
        for name in names:
            self.lose_disk(name, 1)

    def found(self, name):
        """Give a member the disk of a first start that was killed."""
        self.durable[name] = RecoveredState(
            FOUNDING_STORE_ID, VoteState(), None, (), founders=NAMES
        )
        self.restart(name)

    def lose_disk(self, name, generation):
        recovered = RecoveredState(
            f"{name}{generation}", VoteState(), None, ()
        )
        self.durable[name] = recovered
        self.restart(name)

    def restart(self, name):
        self.down.discard(name)
        core = Core(
            settings_of(name, **self.options),
            self.durable[name],
            Random(name),
            self.now,
        )
        self.cores[name] = core

    def run(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for name, core in self.cores.items():
                if name not in self.down:
                    core.tick(self.now)
                    self.perform_effects(name, core)

    def perform_effects(self, name, core):
        effects = core.take_effects(self.now)
        for write in effects.writes:
            self.persist(name, write)
        core.handle_synced()
        core.take_committed()
        for send in (*effects.sends_before_sync, *effects.sends_after_sync):
            is_cut = {(name, send.to), (send.to, name)} & self.cut_links
            if not is_cut and send.to in self.cores.keys() - self.down:
                peer = self.cores[send.to]
                peer.handle(send.message, self.now)
                self.perform_effects(send.to, peer)

    def persist(self, name, write):
        state = self.durable[name]
        vote, entries = state.vote, state.entries
        match write:
            case SaveVote(vote):
                pass
            case SaveEntries(added):
                entries = (*entries[: added[0].index - 1], *added)
        self.durable[name] = RecoveredState(
            state.store_id, vote, None, entries, founders=state.founders
        )

    def leaders(self):
        return [
            name
            for name, core in self.cores.items()
            if name not in self.down and core.role is Role.LEADER
        ]

    def replace_for_good(self, lost, successor):
        """Stop a member and add an empty one once there is a leader."""
        self.down.add(lost)
        self.lose_disk(successor, 1)
        self.run(1)
        leader = self.cores[self.leaders()[0]]
        change = leader.change_membership(AddLearner(successor), self.now)
        assert change.is_ok()

    def find_voter(self, *, is_leader):
        leader = self.leaders()[0]
        if is_leader:
            return leader
        voters = self.cores[leader].configuration.voters
        names = (voter.name for voter in voters)
        return next(n for n in names if n not in {leader} | self.down)

    def isolate(self, *names):
        others = set(self.cores) - set(names)
        self.cut_links |= {(name, other) for name in names for other in others}


def test_new_log_requires_all_initial_members():
    """Check that a new log needs the votes of all initial members.

    With fewer, members that lost their disks could start a second log
    beside the one that the others still have.
    """
    cluster = Cluster()
    cluster.down = {"c"}
    cluster.run(10)
    assert cluster.leaders() == []
    cluster.restart("c")
    cluster.run(3)
    leader = cluster.cores[cluster.leaders()[0]]
    assert leader.configuration == BOUND
    assert {core.commit_index for core in cluster.cores.values()} == {1}


def test_no_new_log_if_may_form_cluster_is_disabled():
    """Check that empty stores start no log without may_form_cluster.

    Such a store still votes for a candidate with a non-empty log.
    """
    cluster = Cluster(may_form_cluster=False)
    cluster.run(10)
    assert cluster.leaders() == []
    voter = core_with("a", may_form_cluster=False)
    voter.handle(vote_request(), 5.0)
    assert [reply.is_granted for reply in answers(voter, 5.0)] == [False]
    voter.handle(vote_request(last=(1, 1)), 5.0)
    assert [reply.is_granted for reply in answers(voter, 5.0)] == [True]


def test_killed_founders_form_the_log_at_a_later_start():
    """Guard against members that are killed before the log is formed.

    Their later starts have no right to form it by their settings.
    """
    cluster = Cluster(**RESTARTED)
    for name in NAMES:
        cluster.found(name)
    cluster.run(3)
    leader = cluster.cores[cluster.leaders()[0]]
    assert [m.name for m in leader.configuration.voters] == list(NAMES)
    assert leader.last_index == 1
    assert {core.commit_index for core in cluster.cores.values()} == {1}


def test_founders_form_the_log_without_one_that_is_replaced():
    """Guard against a log that one lost member keeps from forming."""
    cluster = Cluster(**RESTARTED, repair_after_seconds=0.6)
    for name in NAMES:
        cluster.found(name)
    cluster.replace_for_good("c", "d")
    cluster.run(5)
    leader = cluster.cores[cluster.leaders()[0]]
    assert [m.name for m in leader.configuration.voters] == ["a", "b", "d"]
    leader.propose(b"kept", cluster.now)
    cluster.run(1)
    assert cluster.cores["d"].commit_index == leader.commit_index


def test_an_empty_disk_forms_no_second_log_with_a_founder():
    """Guard against a second log after the loss of one disk.

    An entry is committed by two founders, one of which loses its disk.
    The third has an empty log, and must not be elected with its vote.
    """
    cluster = Cluster(**RESTARTED)
    for name in NAMES:
        cluster.found(name)
    cluster.isolate("c")
    cluster.run(3)
    holder = cluster.leaders()[0]
    lost = "b" if holder == "a" else "a"
    assert cluster.cores[lost].commit_index == 1
    cluster.down = {holder}
    cluster.lose_disk(lost, 2)
    cluster.cut_links.clear()
    cluster.run(10)
    assert cluster.leaders() == []
    cluster.restart(holder)
    cluster.run(5)
    assert len(cluster.leaders()) == 1
    rejoined = cluster.cores[holder].configuration.find(lost)
    assert rejoined == Member(lost, f"{lost}2", MemberRole.VOTER)


def test_empty_store_does_not_elect_a_leader_without_committed_data():
    """Check that a member with a lost disk does not lose a commit.

    The member acknowledged an entry and then lost its disk. Its vote
    together with that of a lagging member must not elect a leader
    without the entry. Once the old leader returns, the member rejoins.
    """
    cluster = Cluster()
    cluster.run(3)
    name = cluster.leaders()[0]
    lost, lagging = (n for n in NAMES if n != name)
    cluster.isolate(lagging)
    cluster.cores[name].propose(b"kept", cluster.now)
    cluster.run(1)
    assert cluster.cores[lost].commit_index == 2
    cluster.down = {name}
    cluster.lose_disk(lost, 2)
    cluster.cut_links.clear()
    cluster.run(10)
    assert cluster.leaders() == []
    cluster.restart(name)
    cluster.run(5)
    assert cluster.leaders() == [name]
    rejoined = cluster.cores[name].configuration.find(lost)
    assert rejoined == Member(lost, f"{lost}2", MemberRole.VOTER)
    assert {core.commit_index for core in cluster.cores.values()} == {
        cluster.cores[name].commit_index
    }


def test_store_not_bound_to_its_member_does_not_vote():
    """Check that a store does not vote if another store is bound.

    The bound store may have cast a vote that this one does not know.
    """
    snapshot = Snapshot(1, 1, BOUND, b"")
    for store_id, expected in (("a1", True), ("a2", False)):
        voter = core_with("a", snapshot=snapshot, store_id=store_id)
        voter.handle(vote_request(last=(1, 1)), 5.0)
        assert [r.is_granted for r in answers(voter, 5.0)] == [expected]


def test_votes_of_unbound_stores_are_not_counted():
    """Check that a candidate ignores votes of unbound stores.

    A member that lost its disk could otherwise vote twice in a term.
    """
    candidate = core_with("a", term=1, entries=log_of(1))
    candidate.tick(5.0)
    answers(candidate, 5.0)
    for store_id, role in (("b2", Role.CANDIDATE), ("b1", Role.LEADER)):
        for is_probe in (True, False):
            reply = VoteReply(2, "b", True, is_probe, store_id)
            candidate.handle(reply, 5.0)
        assert candidate.role is role


@pytest.mark.parametrize(
    ("last", "is_granted"),
    [
        ((2, 2), True),
        ((2, 3), True),
        ((3, 1), True),
        ((2, 1), False),
        ((1, 9), False),
    ],
)
@pytest.mark.parametrize("is_probe", [True, False])
def test_vote_requires_an_up_to_date_log(last, is_granted, is_probe):
    """Check that a candidate with an older log gets no vote.

    It could be elected without committed entries. Only a real vote
    request, not a pre-vote, changes the term of the voter.
    """
    voter = core_with("a", term=2, entries=log_of(1, 2))
    voter.handle(vote_request(3, last=last, is_probe=is_probe), 5.0)
    assert [r.is_granted for r in answers(voter, 5.0)] == [is_granted]
    assert voter.term == (2 if is_probe else 3)


def test_one_vote_per_term_for_one_candidate_store():
    """Check that a voter votes for one candidate store per term.

    A duplicate request gets the same answer. Another candidate, or the
    same one with a new disk, could become a second leader.
    """
    voter = core_with("a", term=2, entries=log_of(1, 2))
    requests = [vote_request(3, name, (2, 2)) for name in "ccb"]
    requests.append(VoteRequest(3, "c", 2, 2, False, "c2"))
    for request in requests:
        voter.handle(request, 5.0)
    granted = [reply.is_granted for reply in answers(voter, 5.0)]
    assert granted == [True, True, False, False]


@pytest.mark.parametrize("is_probe", [True, False])
def test_no_vote_while_a_lease_may_be_live(is_probe):
    """Check that a voter grants no vote while a lease may be live.

    This holds for the election timeout after a message of the leader
    and after a restart, when the voter does not know if it answered a
    leader just before it stopped.
    """
    request = vote_request(9, last=(9, 9), is_probe=is_probe)
    voter = core_with("a", term=1, entries=log_of(1), now=5.0)
    voter.handle(request, 5.0 + TIMEOUT_SECONDS * 0.99)
    assert [r.is_granted for r in answers(voter, 5.0)] == [False]
    assert voter.term == 1
    accepted = append_request(previous=(1, 1))
    voter.handle(accepted, 6.0)
    answers(voter, 6.0)
    voter.handle(request, 6.0 + TIMEOUT_SECONDS * 0.99)
    assert [r.is_granted for r in answers(voter, 6.0)] == [False]
    voter.handle(request, 6.0 + TIMEOUT_SECONDS)
    assert [r.is_granted for r in answers(voter, 6.0)] == [True]


def leader_of_term_4(snapshot=None):
    entries = () if snapshot else log_of(1, 1)
    leader = core_with("a", term=3, entries=entries, snapshot=snapshot)
    leader.tick(5.0)
    for is_probe in (True, False):
        leader.handle(VoteReply(4, "b", True, is_probe, "b1"), 5.0)
    answers(leader, 5.0)
    assert leader.role is Role.LEADER
    return leader


def test_entry_of_an_older_term_is_not_committed_by_counting():
    """Check that entries of older terms are committed indirectly only.

    An entry of an older term can be on a quorum and still be replaced
    by a later leader until an entry of the current term is committed.
    """
    leader = leader_of_term_4()
    for match_index, committed in ((2, 0), (3, 3)):
        reply = AppendReply(4, "b", True, match_index, 1, "b1")
        leader.handle(reply, 5.0)
        assert leader.commit_index == committed


def test_acknowledgements_of_unbound_stores_are_ignored():
    """Check that replies of an unbound store confirm nothing.

    They must count neither for commits nor for the lease.
    """
    leader = leader_of_term_4()
    leader.handle(AppendReply(4, "b", True, 3, 1, "b2"), 5.0)
    assert leader.commit_index == 0
    assert not leader.has_lease(5.0)


def test_lease_starts_when_the_confirmed_round_was_sent():
    """Check that a lease starts at the send time of its round.

    A lease that started with the reply would outlast the time for
    which followers refuse to vote. Without replies the leader steps
    down.
    """
    leader = leader_of_term_4()
    lease = settings_of("a").lease_seconds
    assert lease < TIMEOUT_SECONDS
    assert not leader.has_lease(5.0)
    leader.tick(5.1)
    answers(leader, 5.1)
    leader.handle(AppendReply(4, "b", True, 3, 1, "b1"), 5.2)
    assert leader.has_lease(5.0 + lease * 0.99)
    assert not leader.has_lease(5.0 + lease)
    leader.tick(5.0 + 2 * TIMEOUT_SECONDS)
    assert leader.role is Role.FOLLOWER
    refused = leader.propose(b"x", 6.0)
    assert refused == Err(NotLeader(None))


@pytest.mark.parametrize(
    ("age", "term", "expected"),
    [
        (0.99, 4, Ok("done")),
        (1, 4, Err(OutcomeUnknown())),
        (0.99, 5, Err(OutcomeUnknown())),
    ],
)
def test_outcome_is_reported_only_under_the_lease_of_its_term(
    age, term, expected
):
    """Check that success is reported only under a live lease.

    After the lease or the term has ended, the outcome is unknown.
    """
    leader = leader_of_term_4()
    leader.handle(AppendReply(4, "b", True, 3, 1, "b1"), 5.0)
    proposal = PendingProposal(b"x")
    tracker = RequestTracker()
    tracker.add(Position(3, 4), proposal)
    now = 5.0 + age * settings_of("a").lease_seconds
    tracker.resolve(Position(3, term), "done", leader, now)
    assert proposal.future._value == expected


def test_entry_appended_during_a_write_is_not_durable():
    """Check that a finished write covers only what it contained.

    An entry appended during the write must not count as durable.
    """
    leader = leader_of_term_4()
    leader.propose(b"x", 5.0)
    leader.take_effects(5.0)
    leader.propose(b"y", 5.0)
    leader.handle_synced()
    assert (leader.match_index("a"), leader.last_index) == (4, 5)


def sent_to(name, effects):
    sends = (*effects.sends_before_sync, *effects.sends_after_sync)
    return [send.message for send in sends if send.to == name]


def test_rejections_of_requests_in_flight_resend_entries_once():
    """Check that a peer that is behind gets its entries once.

    It rejects every request that was on its way when the leader learned
    where to begin. Each rejection resent the whole log, to each of
    seven control instances that joined during the first release.
    """
    leader = leader_of_term_4()
    leader.handle(AppendReply(4, "b", True, 3, 1, "b1"), 5.0)
    in_flight = []
    for now in (5.0, 5.1):
        leader.propose(b"large" * 100, now)
        in_flight += sent_to("c", leader.take_effects(now))
    assert len(in_flight) == 2

    def reject(request):
        """Answer as a peer that has lost its disk."""
        reply = AppendReply(4, "c", False, 0, request.round, "c1")
        leader.handle(reply, 5.1)
        return [
            entry.index
            for sent in sent_to("c", leader.take_effects(5.1))
            for entry in sent.entries
        ]

    assert [reject(one) for one in in_flight] == [[1, 2, 3, 4, 5], []]
    # A later round tells that what was resent has been lost.
    leader.tick(5.2)
    (later,) = sent_to("c", leader.take_effects(5.2))
    assert reject(later) == [1, 2, 3, 4, 5]


def test_a_rejection_with_a_lower_hint_is_followed_at_once():
    """Check that the leader finds the common prefix without waiting."""
    leader = leader_of_term_4()
    leader.take_effects(5.0)
    for hint, first in ((2, 3), (1, 2), (0, 1)):
        leader.handle(AppendReply(4, "c", False, hint, 1, "c1"), 5.0)
        (request,) = sent_to("c", leader.take_effects(5.0))
        assert request.entries[0].index == first


def test_request_echoes_the_round_answered_before_it():
    """Check that a request echoes a reply received before its round.

    A later reply would make the request appear more recent to the
    follower than it is.
    """
    leader = leader_of_term_4()
    for number, echoed in ((1, 0), (2, 1)):
        leader.handle(AppendReply(4, "b", False, 1, number, "b1"), 5.0)
        effects = leader.take_effects(5.0)
        request = effects.sends_before_sync[0].message
        assert (request.round, request.acked_round) == (number, echoed)
        leader.tick(5.1)
        answers(leader, 5.1)


def test_requests_from_before_a_restart_prove_no_freshness():
    """Check that a restarted follower ignores echoes of its old run.

    Delayed requests from before the restart would otherwise appear to
    echo replies sent after it, and stale state would count as fresh.
    """
    entries = log_of(1)
    before = core_with("a", term=1, entries=entries)
    requests = []
    acked_round = 0
    for number in (1, 2, 3):
        rest = (1, number, acked_round, number - 1, "b1")
        requests.append(AppendRequest(1, "b", 1, 1, (), *rest))
        before.handle(requests[-1], number * 0.1)
        acked_round = answers(before, 0.0)[0].round
    assert before.confirmed_at == pytest.approx(0.1)
    after = core_with("a", term=1, entries=entries, random=Random(9))
    for request in requests:
        after.handle(request, 9.0)
        answers(after, 9.0)
    assert after.commit_index == 1
    assert after.confirmed_at is None


def test_read_requires_a_round_started_after_it():
    """Check that a read is confirmed only by a later round.

    An older round does not show that this replica is still the leader.
    Reads that are started before the same flush share a round.
    """
    leader = leader_of_term_4()
    leader.handle(AppendReply(4, "b", True, 3, 1, "b1"), 5.1)
    ticket = leader.begin_read().unwrap()
    assert leader.begin_read() == Ok(ticket)
    answers(leader, 5.1)
    assert leader.is_read_confirmed(ticket) is False
    leader.handle(AppendReply(4, "c", True, 3, 1, "c1"), 5.1)
    assert leader.is_read_confirmed(ticket) is False
    leader.handle(AppendReply(4, "c", True, 3, ticket.round, "c1"), 5.1)
    assert leader.is_read_confirmed(ticket) is True


def test_a_read_of_a_new_leader_waits_for_an_entry_of_its_term():
    """Check that a new leader confirms no read of what it may not know.

    A quorum confirms its leadership before it has answered the first
    entry of the term, without which the leader knows of no commit.
    """
    leader = leader_of_term_4()
    assert leader.commit_index == 0
    tracker, read = RequestTracker(), PendingRead()
    ticket = leader.begin_read().unwrap()
    assert ticket.index == leader.last_index == 3
    tracker.add_read(ticket, read)
    answers(leader, 5.1)

    def confirm(match, now):
        reply = AppendReply(4, "c", True, match, ticket.round, "c1")
        leader.handle(reply, now)
        answers(leader, now)
        tracker.settle(leader, leader.applied_index, now)

    confirm(2, 5.1)
    assert leader.is_read_confirmed(ticket) is True
    assert not read.future._is_set.is_set()
    confirm(3, 5.15)
    assert read.future._value is True
    assert (read.index, leader.applied_index) == (3, 3)


def test_a_read_of_a_new_leader_ends_with_its_term():
    """Check that a read of a leader that commits nothing is refused."""
    leader = leader_of_term_4()
    tracker, read = RequestTracker(), PendingRead()
    tracker.add_read(leader.begin_read().unwrap(), read)
    leader.handle(append_request(term=5, previous=(2, 2)), 5.2)
    answers(leader, 5.2)
    tracker.settle(leader, leader.applied_index, 5.2)
    assert read.future._value is False


def cluster_with_leader():
    cluster = Cluster()
    cluster.run(2.0)
    (leader,) = cluster.leaders()
    return cluster, leader


def test_no_election_waits_if_all_members_know_of_no_lease():
    """Check that a loss of power of everything costs no lease time.

    Each member forgets whether it backed a lease, but all of them know
    that they hold none.
    """
    cluster, _ = cluster_with_leader()
    for name in NAMES:
        cluster.restart(name)
    cluster.run(TIMEOUT_SECONDS * 0.8)
    (leader,) = cluster.leaders()
    assert cluster.cores[leader].has_lease(cluster.now)


def test_an_election_waits_for_a_member_that_does_not_answer():
    """Check that a silent member counts as one that holds the lease."""
    cluster, leader = cluster_with_leader()
    for name in NAMES:
        cluster.restart(name)
    cluster.down.add(leader)
    cluster.run(TIMEOUT_SECONDS * 0.9)
    assert not [name for name in cluster.leaders() if name != leader]
    cluster.run(1.0)
    assert [name for name in cluster.leaders() if name != leader]


def test_an_election_waits_for_a_leader_that_did_not_restart():
    """Check that a leader cut off from restarted members is waited for.

    It still holds its lease; a second one would let both confirm reads.
    """
    cluster, leader = cluster_with_leader()
    others = [name for name in NAMES if name != leader]
    for name in others:
        cluster.cut_links |= {(leader, name), (name, leader)}
        cluster.restart(name)
    while cluster.cores[leader].has_lease(cluster.now):
        assert cluster.leaders() == [leader]
        cluster.run(STEP_SECONDS)


def test_a_vote_without_waiting_needs_an_answer_of_the_same_process():
    """Check that a voter forgets with its process what it has answered.

    After its answer it may have backed the lease of another leader.
    """

    def probe(voter, number):
        request = VoteRequest(*(2, "c", 2, 1), True, "c1", probe_round=number)
        voter.handle(request, 0.01)
        (reply,) = answers(voter, 0.01)
        assert reply.holds_no_lease
        assert not reply.is_granted

    def is_granted(voter, number):
        request = VoteRequest(
            *(2, "c", 2, 1), False, "c1", probe_round=number, is_vacant=True
        )
        voter.handle(request, 0.02)
        (reply,) = answers(voter, 0.02)
        return reply.is_granted

    voter = core_with("a", term=1, entries=log_of(1, 1))
    assert not is_granted(voter, 1)
    probe(voter, 1)
    assert not is_granted(voter, 2)
    assert is_granted(voter, 1)
    voter = core_with("a", term=1, entries=log_of(1, 1))
    probe(voter, 1)
    voter.handle(append_request(previous=(1, 2)), 0.015)
    answers(voter, 0.015)
    assert not is_granted(voter, 1)


def test_rejoining_member_does_not_disrupt_the_leader():
    """Check that a partitioned member does not increase its term.

    Without pre-votes, its failed elections would increase the term and
    depose the leader when the partition heals.
    """
    cluster = Cluster()
    cluster.run(3)
    name, term = cluster.leaders()[0], cluster.cores[cluster.leaders()[0]].term
    isolated = next(n for n in NAMES if n != name)
    cluster.isolate(isolated)
    cluster.run(10)
    assert not cluster.cores[isolated].is_fresh(cluster.now)
    assert cluster.cores[isolated].term == term
    cluster.cut_links.clear()
    cluster.run(1)
    assert cluster.leaders() == [name]
    assert cluster.cores[name].term == cluster.cores[isolated].term == term
    assert all(core.is_fresh(cluster.now) for core in cluster.cores.values())


def test_only_the_majority_side_repairs_the_membership():
    """Check that a partition leads to a single new configuration.

    If the minority also replaced the members it cannot reach, both
    sides could form a quorum.
    """
    cluster = Cluster((*NAMES, "d", "e"), repair_after_seconds=1.0)
    cluster.run(3)
    old = cluster.leaders()[0]
    for spare in ("d", "e"):
        change = cluster.cores[old].change_membership
        assert change(AddLearner(spare), cluster.now).is_ok()
        cluster.run(1)
    before = cluster.cores[old].configuration
    cluster.isolate(old, "d")
    cluster.run(10)
    assert cluster.cores[old].configuration == before
    assert not cluster.cores[old].has_lease(cluster.now)
    new = next(n for n in cluster.leaders() if n != old)
    voters = {v.name for v in cluster.cores[new].configuration.voters}
    assert voters == {*NAMES, "e"} - {old}
    cluster.cut_links.clear()
    cluster.run(3)
    assert cluster.leaders() == [new]
    configurations = {core.configuration for core in cluster.cores.values()}
    assert configurations == {cluster.cores[new].configuration}


def test_a_learner_lost_with_a_voter_does_not_get_its_vote():
    """Guard against a quorum that is lost with one data centre.

    Promoted just after it was cut off, a learner made two of four
    voters unreachable, where one of three had been.
    """
    cluster = Cluster((*NAMES, "d"), repair_after_seconds=TIMEOUT_SECONDS)
    cluster.run(3)
    name = cluster.leaders()[0]
    leader = cluster.cores[name]
    assert leader.change_membership(AddLearner("d"), cluster.now).is_ok()
    cluster.run(1)
    cluster.isolate(next(n for n in NAMES if n != name))
    cluster.run(0.06)
    cluster.isolate("d")
    cluster.run(3)
    assert cluster.leaders() == [name]
    assert leader.has_lease(cluster.now)


@pytest.mark.parametrize("is_leader", [False, True])
def test_a_stopping_voter_hands_its_vote_to_a_learner(is_leader):
    """Guard against a planned stop that uses up the next loss.

    The log elected no leader again when a disk was lost just after a
    voter had stopped, although its successor held the whole log.
    """
    cluster = Cluster((*NAMES, "d"))
    cluster.run(3)
    leader = cluster.cores[cluster.leaders()[0]]
    assert leader.change_membership(AddLearner("d"), cluster.now).is_ok()
    cluster.run(0.5)
    stopping = cluster.find_voter(is_leader=is_leader)
    core = cluster.cores[stopping]
    core.begin_leaving(cluster.now)
    cluster.run(0.5)
    assert not core.awaits_successor(cluster.now)
    cluster.down.add(stopping)
    lost = next(n for n in NAMES if n != stopping)
    cluster.lose_disk(lost, 2)
    cluster.run(2)
    leader = cluster.cores[cluster.leaders()[0]]
    assert leader.has_lease(cluster.now)
    voters = {voter.name for voter in leader.configuration.voters}
    assert voters == {*NAMES, "d"} - {stopping}


@pytest.mark.parametrize("is_leader", [False, True])
def test_a_stopping_voter_without_a_successor_keeps_its_vote(is_leader):
    """Guard against a stop that shrinks the log or waits in vain."""
    cluster = Cluster()
    cluster.run(3)
    stopping = cluster.find_voter(is_leader=is_leader)
    core = cluster.cores[stopping]
    core.begin_leaving(cluster.now)
    assert not core.awaits_successor(cluster.now)
    cluster.run(0.5)
    assert {v.name for v in core.configuration.voters} == set(NAMES)
    cluster.down.add(stopping)
    cluster.run(2)
    cluster.restart(stopping)
    cluster.run(1)
    leader = cluster.cores[cluster.leaders()[0]]
    assert leader.has_lease(cluster.now)
    assert {v.name for v in leader.configuration.voters} == set(NAMES)


def test_a_voter_that_restarted_instead_of_leaving_keeps_its_vote():
    """Guard against a request to leave that outlives its process."""
    cluster = Cluster((*NAMES, "d"))
    cluster.run(3)
    leader = cluster.cores[cluster.leaders()[0]]
    stopping = cluster.find_voter(is_leader=False)
    leader.handle(LeaveRequest(stopping), cluster.now)
    cluster.run(2 * TIMEOUT_SECONDS)
    assert leader.change_membership(AddLearner("d"), cluster.now).is_ok()
    cluster.run(2)
    assert {v.name for v in leader.configuration.voters} == set(NAMES)


@pytest.mark.parametrize("is_leader_lost", [False, True])
@pytest.mark.parametrize("is_leader_restarted", [False, True])
def test_members_replaced_one_after_another_keep_the_quorum(
    is_leader_lost, is_leader_restarted
):
    """Guard against voters that are gone when the next one is lost.

    The wait is a quarter of the time between two losses.
    """
    seconds_between = 2.0
    cluster = Cluster(repair_after_seconds=seconds_between / 4)
    cluster.run(3)
    for successor in ("d", "e", "f", "g"):
        lost = cluster.find_voter(is_leader=is_leader_lost)
        cluster.replace_for_good(lost, successor)
        cluster.run(seconds_between - 1)
        if is_leader_restarted:
            cluster.restart(cluster.leaders()[0])
            cluster.run(seconds_between)
        leader = cluster.cores[cluster.leaders()[0]]
        assert leader.has_lease(cluster.now)
        voters = {v.name for v in leader.configuration.voters}
        assert len(voters) == len(NAMES)
        assert not voters & cluster.down


def test_the_default_wait_ends_although_the_leader_is_elected_anew():
    """Guard against a quorum that a second loss ends 10 s later."""
    cluster = Cluster()
    cluster.run(3)
    cluster.replace_for_good(cluster.find_voter(is_leader=False), "d")
    cluster.run(3)
    cluster.restart(cluster.leaders()[0])
    cluster.run(6)
    cluster.lose_disk(cluster.find_voter(is_leader=False), 2)
    cluster.run(2)
    leader = cluster.cores[cluster.leaders()[0]]
    assert leader.has_lease(cluster.now)


def test_votes_stop_moving_once_they_are_spread():
    """Guard against votes that go round between the places."""
    places = {"a": "1", "d": "1", "b": "2", "e": "2", "c": "3"}
    cluster = Cluster(
        (*NAMES, "d", "e"), repair_after_seconds=0.5, place_of=places.get
    )
    cluster.run(3)
    for spare in ("d", "e"):
        leader = cluster.cores[cluster.leaders()[0]]
        leader.change_membership(AddLearner(spare), cluster.now)
        cluster.run(1)
    for name in "cabcdec":
        cluster.down.add(name)
        cluster.run(2)
        cluster.restart(name)
        cluster.run(2)
        leader = cluster.cores[cluster.leaders()[0]]
        voters = leader.configuration.voters
        assert {places[v.name] for v in voters} == {"1", "2", "3"}
        last_index = leader.last_index
        cluster.run(2)
        assert leader.last_index == last_index


def test_lost_disk_is_repaired_under_constant_load():
    """Check that constant load does not postpone repairs.

    Each command starts a round and so postpones the next heartbeat. A
    repair that is tied to heartbeats would never run.
    """
    cluster = Cluster()
    cluster.run(3)
    leader = cluster.cores[cluster.leaders()[0]]
    lost = next(n for n in NAMES if cluster.cores[n] is not leader)
    cluster.lose_disk(lost, 2)
    for _ in range(300):
        leader.propose(b"x", cluster.now)
        cluster.run(STEP_SECONDS)
    rejoined = leader.configuration.find(lost)
    assert rejoined == Member(lost, f"{lost}2", MemberRole.VOTER)


def test_changes_wait_for_the_term_and_earlier_changes():
    """Check that only one membership change is in progress.

    A change also waits for the first committed entry of the term.
    Otherwise quorums of two configurations might not overlap.
    """
    leader = leader_of_term_4(Snapshot(2, 1, BOUND, b""))
    assert leader.commit_index == 2
    change = leader.change_membership
    assert change(AddLearner("d"), 5.0) == Err(ChangeInFlight())
    leader.handle(AppendReply(4, "b", True, 3, 1, "b1"), 5.0)
    assert change(AddLearner("d"), 5.0).is_ok()
    assert change(RemoveMember("c"), 5.0) == Err(ChangeInFlight())
    follower = core_with("a")
    assert follower.change_membership(AddLearner("d"), 0.0) == Err(
        NotLeader(None)
    )


@pytest.mark.parametrize(
    "message",
    [
        # A second leader in the current term.
        append_request(2, "c"),
        # A committed entry replaced by one of another term.
        append_request(
            3, "c", (Entry(2, 3, EntryKind.COMMAND, b""),), 2, (1, 1)
        ),
    ],
)
def test_violated_guarantees_raise_an_exception(message):
    """Check that violated guarantees raise InvariantViolation.

    Ignoring them could spread the damage to other members.
    """
    follower = core_with("a", term=1)
    accepted = append_request(2, "b", log_of(1, 1), 2)
    follower.handle(accepted, 0.0)
    assert follower.commit_index == 2
    with pytest.raises(InvariantViolation):
        follower.handle(message, 0.0)

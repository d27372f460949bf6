"""Randomized simulation of several cores with fault injection.

Disks and links are simulated. Every observation is compared with a
single history: the first command applied at an index must be the
command at that index on every member from then on, and every
acknowledged command must be part of the history.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random

from fake_disk import CrashError, FakeDisk
from result import Ok

from rhubarbhollow_replication.core import Core, Position
from rhubarbhollow_replication.entry import EntryKind
from rhubarbhollow_replication.formation import record_formation
from rhubarbhollow_replication.membership_change import (
    AddLearner,
    RemoveMember,
)
from rhubarbhollow_replication.pending import PendingProposal, PendingRead
from rhubarbhollow_replication.request_tracker import RequestTracker
from rhubarbhollow_replication.role import Role
from rhubarbhollow_replication.settings import ReplicaSettings
from rhubarbhollow_replication.snapshot import Snapshot
from rhubarbhollow_replication.store import LogStore, set_aside
from rhubarbhollow_replication.store_fault import CorruptRecord
from rhubarbhollow_replication.vote import VoteReply

INITIAL = ("a", "b", "c")
SPARES = ("d", "e")
TIMEOUT_SECONDS = 0.3
MAX_RATE_ERROR = 0.02
MAX_SETTLE_STEPS = 6000
FINAL_COMMAND = b"last"
STEPS_PER_PHASE = 400
SMALL_FILES = ("store", "vote", "snapshot", "formation")
FAULT_RATES = (0.0, 0.002, 0.005, 0.02)


@dataclass
class RunReport:
    """Counters of a run, used to detect runs that were idle."""

    seed: int
    steps: int
    acknowledged: int = 0
    unknown: int = 0
    reads: int = 0
    terms: int = 0
    fresh_claims: int = 0
    is_settled: bool = False
    events: Counter = field(default_factory=Counter)


class Machine:
    def __init__(self):
        self.applied = {}

    def apply(self, index, payload):
        self.applied[index] = payload
        return index

    def snapshot(self):
        rows = [b"%d %s" % row for row in sorted(self.applied.items())]
        return b"\n".join(rows)

    def restore(self, data):
        rows = (row.split(b" ", 1) for row in data.splitlines())
        self.applied = {int(index): payload for index, payload in rows}


class Member:
    """One core with its disk, clock and open requests."""

    def __init__(self, name, run):
        self.name = name
        self.run = run
        self.random = Random(f"{run.report.seed} {name}")
        self.rate = 1 + self.random.uniform(-1, 1) * MAX_RATE_ERROR
        self.disk = FakeDisk(self.random)
        self.folder = Path("/data") / name
        self.is_up = self.is_damaged = False
        self.frozen_until = 0.0
        self.core = None
        if run.is_founded and name in INITIAL:
            record_formation(self.folder, INITIAL, self.disk)
        self.start()

    def now(self):
        return 1000 + self.run.time * self.rate

    def start(self):
        opened = self.open()
        if not isinstance(opened, Ok):
            assert isinstance(opened.err_value, CorruptRecord), opened
            assert self.is_damaged, opened
            self.run.report.events["corrupt"] += 1
            set_aside(self.folder, self.disk)
            opened = self.open()
        self.store = opened.unwrap()
        self.settings = ReplicaSettings(
            self.name,
            () if self.run.is_founded else INITIAL,
            may_form_cluster=not self.run.is_founded,
            wanted_voters=len(INITIAL),
            election_timeout_ms=int(TIMEOUT_SECONDS * 1000),
            heartbeat_ms=60,
            snapshot_after_entries=20,
            max_batch_bytes=200,
            repair_after_seconds=3.0,
        )
        recovered = self.store.recovered
        self.machine = Machine()
        self.applied_index = 0
        self.core = Core(self.settings, recovered, self.random, self.now())
        self.tracker = RequestTracker()
        self.requests = []
        self.inbox = []
        self.pending_write = None
        self.is_up = True
        self.is_damaged = False
        # Whether the next crash spares what was written but not synced.
        self.is_only_killed = False
        # Until then the disk fails and the process goes on.
        self.outage_until = None
        self.has_store_fault = False
        # When a member that is leaving the log stops at the latest.
        self.stops_at = None
        if recovered.snapshot:
            self.restore(recovered.snapshot)

    def open(self):
        return LogStore.open(
            self.folder,
            disk=self.disk,
            random_source=self.random,
            segment_bytes=500,
        )

    @property
    def is_awake(self):
        return self.is_up and self.run.time >= self.frozen_until

    @property
    def is_taking_part(self):
        return self.is_awake and not self.has_store_fault

    def crash(self):
        self.is_up = False
        if self.is_only_killed:
            self.disk.clear_faults()
        else:
            self.disk.crash()
        self.down_until = self.run.time + self.random.choice((0.1, 1, 6))

    def restore(self, snapshot):
        self.machine.restore(snapshot.data)
        self.applied_index = snapshot.last_index
        for index, payload in self.machine.applied.items():
            self.run.record_applied(index, payload)

    def step(self):
        """Process received messages or finish a pending write.

        A crashed member restarts once it is due; a frozen one waits.
        """
        if not self.is_up and self.run.time >= self.down_until:
            self.start()
        if not self.is_awake:
            return
        if self.stops_at is not None and self.is_due_to_stop():
            self.run.report.events["planned stop"] += 1
            self.is_only_killed = True
            self.crash()
            return
        if self.outage_until and self.run.time >= self.outage_until:
            self.outage_until = None
            self.disk.clear_faults()
        try:
            if self.has_store_fault:
                self.reopen_store()
            elif self.pending_write is None:
                self.process_inbox()
            elif self.run.time >= self.pending_write[1]:
                self.finish_write()
        except CrashError:
            self.run.report.events["crash in write"] += 1
            self.crash()

    def process_inbox(self):
        now = self.now()
        self.core.tick(now)
        for message in self.inbox:
            self.core.handle(message, now)
        self.inbox.clear()
        effects = self.core.take_effects(now)
        for send in effects.sends_before_sync:
            self.run.send(self, send)
        delay = self.random.choice((0, 0, 0, 0.01, 0.05))
        delay *= bool(effects.writes) and not self.run.is_calm
        self.pending_write = effects, self.run.time + delay
        if not delay:
            self.finish_write()

    def finish_write(self):
        effects = self.pending_write[0]
        self.pending_write = None
        if effects.writes and self.store.write(effects.writes).is_err():
            self.run.report.events["store failed"] += 1
            if self.outage_until is None:
                self.crash()
            else:
                self.has_store_fault = True
                self.tracker.abort_all()
            return
        self.core.handle_synced()
        for send in effects.sends_after_sync:
            self.run.send(self, send)
        for item in self.core.take_committed():
            if isinstance(item, Snapshot):
                self.restore(item)
            else:
                self.apply(item)
        self.tracker.settle(self.core, self.applied_index, self.now())
        if self.core.needs_snapshot:
            self.core.compact(self.machine.snapshot())

    def is_due_to_stop(self):
        if self.has_store_fault or self.run.time >= self.stops_at:
            return True
        return not self.core.awaits_successor(self.now())

    def reopen_store(self):
        """Resume as ``Replica`` does once the disk works again."""
        reopened = self.store.reopen()
        if reopened.is_err():
            assert not isinstance(reopened.err_value, CorruptRecord)
            return
        self.run.report.events["store reopened"] += 1
        self.store = reopened.unwrap()
        recovered = replace(
            self.store.recovered, committed_index=self.applied_index
        )
        snapshot = recovered.snapshot
        if snapshot and snapshot.last_index > self.applied_index:
            self.restore(snapshot)
        self.core = Core(self.settings, recovered, self.random, self.now())
        self.inbox.clear()
        self.has_store_fault = False

    def apply(self, entry):
        assert entry.index == self.applied_index + 1
        outcome = None
        if entry.kind is EntryKind.COMMAND:
            outcome = self.machine.apply(entry.index, entry.payload)
            self.run.record_applied(entry.index, entry.payload)
        self.applied_index = entry.index
        position = Position(entry.index, entry.term)
        self.tracker.resolve(position, outcome, self.core, self.now())

    def propose(self, payload):
        proposal = PendingProposal(payload)
        position = self.core.propose(payload, self.now())
        if position.is_ok():
            self.tracker.add(position.ok_value, proposal)
            self.requests.append((proposal, payload))

    def read(self):
        read = PendingRead()
        ticket = self.core.begin_read()
        if ticket.is_ok():
            self.tracker.add_read(ticket.ok_value, read)
            self.requests.append((read, self.run.acknowledged_index))

    def has_quorum_without(self, lost):
        """Return whether a quorum remains if a disk is lost.

        Always true while this member's configuration is unbound or
        unknown.
        """
        configuration = self.core.configuration
        stores = {m.name: m.core.store_id for m in self.run.members.values()}
        intact = {
            voter.name
            for voter in configuration.voters
            if voter.store_id in ("", stores[voter.name])
            and voter.name != lost
            and self.run.members[voter.name].is_taking_part
        }
        is_known = bool(configuration.voters) and configuration.is_bound
        return configuration.is_quorum(intact) or not is_known


class Run:
    def __init__(self, seed, steps, faults=(), *, is_founded=False):
        self.is_founded = is_founded
        self.faults = FAULTS + faults
        self.report = RunReport(seed, steps)
        self.random = Random(seed)
        self.time = 0.0
        self.is_calm = False
        self.fault_rate = 0.0
        self.links = []
        self.ids = itertools.count()
        self.cut_links = set()
        self.history = {}
        self.acknowledged_index = 0
        self.acknowledgements = []
        self.acknowledged = {}
        self.votes = defaultdict(set)
        self.leaders = defaultdict(set)
        self.members = {name: Member(name, self) for name in INITIAL + SPARES}

    def send(self, member, send):
        message = send.message
        match message:
            case VoteReply(is_granted=True, is_probe=False):
                vote = self.votes[member.name, message.store_id, message.term]
                vote.add(send.to)
                assert len(vote) == 1, "a store voted twice in the same term"
        loss = 0.0 if self.is_calm else 0.05
        if (
            member.name,
            send.to,
        ) in self.cut_links or self.random.random() < loss:
            return
        copies = 2 if self.random.random() < loss else 1
        for _ in range(copies):
            delay = self.random.uniform(0.0005, 0.004)
            if self.random.random() < loss:
                delay = self.random.uniform(0, 4 * TIMEOUT_SECONDS)
            row = (self.time + delay, next(self.ids), send.to, message)
            heapq.heappush(self.links, row)

    def record_applied(self, index, payload):
        known = self.history.setdefault(index, payload)
        assert known == payload, f"conflicting commands at index {index}"

    def step(self):
        self.time += self.random.uniform(0, 0.01)
        while self.links and self.links[0][0] <= self.time:
            _, _, name, message = heapq.heappop(self.links)
            if self.members[name].is_up:
                self.members[name].inbox.append(message)
        order = list(self.members.values())
        self.random.shuffle(order)
        for member in order:
            member.step()
            self.collect_results(member)
        self.check()

    def collect_results(self, member):
        """Collect and check the results of a member's requests."""
        still_open = []
        for request, expected in member.requests:
            if not request.future._is_set.is_set():
                still_open.append((request, expected))
                continue
            value = request.future._value
            if isinstance(request, PendingRead):
                self.report.reads += value
                assert not value or member.applied_index >= expected
                assert not value or request.index >= expected
            elif isinstance(value, Ok):
                assert member.core.has_lease(member.now()), (
                    "success reported without a lease"
                )
                self.acknowledge(value.ok_value, expected)
            else:
                self.report.unknown += 1
        member.requests = still_open

    def acknowledge(self, index, payload):
        self.report.acknowledged += 1
        assert self.history[index] == payload
        assert index not in self.acknowledged, (
            "an index was acknowledged twice"
        )
        self.acknowledged[index] = payload
        self.acknowledged_index = max(self.acknowledged_index, index)
        self.acknowledgements.append((self.time, self.acknowledged_index))

    def has_quorums_without(self, name):
        """Return whether the disk of a member may be lost.

        Links must not be cut, the configuration of each member must
        keep a quorum, and once a command was applied, another initial
        member must have a log.
        """
        members = self.members.values()
        if self.cut_links or not all(
            m.has_quorum_without(name) for m in members
        ):
            return False
        remembering = (
            other
            for other in INITIAL
            if other != name and self.members[other].core.last_index
        )
        return not self.history or any(remembering)

    def check(self):
        running = [m for m in self.members.values() if m.is_taking_part]
        holders = [m for m in running if m.core.has_lease(m.now())]
        assert len(holders) <= 1, "two members hold a lease at the same time"
        for member in running:
            if member.core.role is Role.LEADER:
                self.leaders[member.core.term].add(member.name)
                assert len(self.leaders[member.core.term]) == 1
            self.check_confirmed(member)

    def check_confirmed(self, member):
        """Compare a member's staleness bound with acknowledgements."""
        now = member.now()
        confirmed_at = member.core.confirmed_at
        is_fresh = member.core.is_fresh(now)
        self.report.fresh_claims += is_fresh
        if confirmed_at is None:
            assert not is_fresh
            return
        assert not is_fresh or confirmed_at > now - TIMEOUT_SECONDS
        moment = (confirmed_at - 1000) / member.rate
        position = bisect.bisect_left(self.acknowledgements, (moment, 0))
        if position:
            required = self.acknowledgements[position - 1][1]
            assert member.applied_index >= required, (
                "confirmed_at is too recent for the applied state"
            )

    def run_client_and_faults(self):
        """Send a client request and occasionally inject a fault."""
        member = self.random.choice(list(self.members.values()))
        if member.is_taking_part and member.core.role is Role.LEADER:
            self.send_client_request(member)
        if self.random.random() < 1 / STEPS_PER_PHASE:
            self.fault_rate = self.random.choice(FAULT_RATES)
            heal(self, member)
        if self.random.random() < self.fault_rate:
            fault = self.random.choice(self.faults)
            self.report.events[fault.__name__] += 1
            fault(self, member)

    def send_client_request(self, leader):
        draw = self.random.random()
        if draw < 0.7:
            leader.propose(b"%d" % next(self.ids))
        elif draw < 0.9:
            leader.read()
        elif draw < 0.97:
            name = self.random.choice(SPARES)
            leader.core.change_membership(AddLearner(name), leader.now())
        else:
            name = self.random.choice(SPARES)
            leader.core.change_membership(RemoveMember(name), leader.now())

    def settle(self):
        """End the faults and run until convergence or the step limit.

        A full disk or failing sync ends with the crash that it causes.
        """
        self.is_calm = True
        self.cut_links.clear()
        for member in self.members.values():
            member.disk.crash_after = None
            member.frozen_until = 0
            if member.outage_until is not None:
                member.outage_until = self.time
            if not member.is_up:
                member.start()
        members = self.members.values()
        for _ in range(MAX_SETTLE_STEPS):
            self.step()
            leaders = (
                m
                for m in members
                if m.is_taking_part and m.core.has_lease(m.now())
            )
            leader = next(leaders, None)
            if leader is None:
                continue
            for name in self.members:
                change = AddLearner(name)
                leader.core.change_membership(change, leader.now())
            self.report.is_settled = self.has_converged()
            if self.report.is_settled:
                return
            if (
                not leader.requests
                and FINAL_COMMAND not in self.history.values()
            ):
                leader.propose(FINAL_COMMAND)

    def has_converged(self):
        if FINAL_COMMAND not in self.history.values():
            return False
        states = [member.machine.applied for member in self.members.values()]
        voters = {
            len(m.core.configuration.voters) for m in self.members.values()
        }
        return voters == {len(INITIAL)} and all(
            state == self.history for state in states
        )


def crash(run, member):
    if member.is_up:
        member.crash()


def crash_in_write(run, member):
    if member.is_up:
        member.disk.crash_after = run.random.randint(0, 12)


def kill_in_write(run, member):
    """Kill the process; its disk keeps what was not synced."""
    if member.is_up:
        member.is_only_killed = True
        member.disk.crash_after = run.random.randint(0, 12)


def crash_all(run, member):
    for other in run.members.values():
        crash(run, other)


def lose_disk(run, member):
    if not run.has_quorums_without(member.name):
        return
    crash(run, member)
    run.report.events["disk lost"] += 1
    member.disk = FakeDisk(member.random)
    member.start()


def flip_bit(run, member):
    """Corrupt synced data that the store guarantees to detect."""
    if not run.has_quorums_without(member.name):
        return
    crash(run, member)
    paths = [p for p in member.disk.names_now if p.parent == member.folder]
    logs = sorted(p for p in paths if p.suffix == ".log")[:-1]
    known = [p for p in paths if p.name in SMALL_FILES]
    path = run.random.choice(sorted([*logs, *known]))
    size = len(member.disk.read(path))
    member.is_damaged = True
    member.disk.flip(path, run.random.randrange(size))
    before = run.report.events["corrupt"]
    member.start()
    assert run.report.events["corrupt"] == before + 1


def fail_sync(run, member):
    member.disk.fails_sync = member.is_up


def fill_disk(run, member):
    member.disk.is_full = member.is_up


def freeze(run, member):
    member.frozen_until = run.time + run.random.uniform(0, 1.5)


def cut_one_way(run, member):
    other = run.random.choice(INITIAL + SPARES)
    run.cut_links.add((member.name, other))


def cut_from_leader(run, member):
    for other in run.members.values():
        if other.is_awake and other.core.role is Role.LEADER:
            names = (member.name, other.name)
            run.cut_links |= {names, names[::-1]}


def isolate(run, member):
    for other in run.members:
        run.cut_links |= {(member.name, other), (other, member.name)}


def heal(run, member):
    run.cut_links.clear()


FAULTS = (
    *(crash, crash_in_write, crash_in_write, lose_disk, flip_bit),
    *(fail_sync, fill_disk, freeze, freeze, cut_one_way, cut_from_leader),
    *(cut_from_leader, isolate),
    *(heal, heal, heal, crash_all),
)


def power_cycle(run, member):
    """Restart all members, at times all but a leader cut off."""
    leaders = [
        other
        for other in run.members.values()
        if other.is_awake and other.core.has_lease(other.now())
    ]
    if run.random.random() < 0.5 and leaders:
        isolate(run, leaders[0])
    else:
        leaders = []
    for other in run.members.values():
        if other not in leaders:
            crash(run, other)
            other.start()


def run_short_of_space(run, member):
    """Fill the disk for a while; the process goes on."""
    if member.is_taking_part:
        member.disk.is_full = True
        member.outage_until = run.time + run.random.uniform(0.1, 6)


def fail_syncs_for_a_while(run, member):
    if member.is_taking_part:
        member.disk.fails_sync = True
        member.outage_until = run.time + run.random.uniform(0.1, 6)


def stop_as_planned(run, member):
    if member.is_taking_part:
        member.core.begin_leaving(member.now())
        member.stops_at = run.time + run.random.uniform(0.1, 2)


# Not among ``FAULTS``, so that the runs of those seeds stay the same.
POWER_CYCLES = (power_cycle,) * 6
DISK_OUTAGES = (*(run_short_of_space, fail_syncs_for_a_while) * 8,)
PLANNED_STOPS = (*(stop_as_planned,) * 20, crash_all)
LOST_DISKS = (lose_disk,) * 8
KILLS = (*(kill_in_write,) * 6, crash_all, crash_all)


def run_seed(
    seed: int,
    steps: int,
    faults: tuple[object, ...] = (),
    *,
    is_founded: bool = False,
) -> RunReport:
    """Run ``steps`` with faults, then require convergence.

    ``is_founded`` starts the initial members with a durable record of
    who they are and without the right to form the log by settings.
    """
    run = Run(seed, steps, faults, is_founded=is_founded)
    for _ in range(steps):
        run.step()
        run.run_client_and_faults()
    run.settle()
    assert run.report.is_settled, "members did not converge to the same state"
    for index, payload in run.acknowledged.items():
        assert run.history[index] == payload
    run.report.terms = len(run.leaders)
    return run.report

"""Tests of replicas in one process with a manual clock."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

import anyio
import anyio.lowlevel
import anyio.to_thread
import pytest
from fake_disk import FakeDisk
from result import Err, Ok
from structlog.testing import capture_logs

from rhubarbhollow_replication.append import AppendReply, AppendRequest
from rhubarbhollow_replication.disk import OsDisk
from rhubarbhollow_replication.fault import (
    NotLeader,
    OutcomeUnknown,
    Overloaded,
    PayloadTooLarge,
    StoreFailed,
)
from rhubarbhollow_replication.membership_change import AddLearner
from rhubarbhollow_replication.record import MAX_PAYLOAD_BYTES
from rhubarbhollow_replication.replica import Replica
from rhubarbhollow_replication.role import Role
from rhubarbhollow_replication.settings import ReplicaSettings
from rhubarbhollow_replication.store import LogStore
from rhubarbhollow_replication.store_fault import DiskFull, SyncFailed
from rhubarbhollow_wire.clock import ManualClock

NAMES = ("a", "b", "c")
STEP_SECONDS = 0.01
MAX_STEPS = 3000
TURNS_PER_STEP = 12


async def settle():
    """Let every task run until it waits again."""
    for _ in range(TURNS_PER_STEP):
        await anyio.lowlevel.checkpoint()


class RecordingMachine:
    """A state machine that records every command."""

    def __init__(self):
        self.commands = []
        self.on_apply = lambda: None

    def apply(self, index, payload):
        self.on_apply()
        self.commands.append(payload.decode())
        return len(self.commands)

    def snapshot(self):
        return json.dumps(self.commands).encode()

    def restore(self, data):
        self.commands = json.loads(data)


class Cluster:
    """Replicas connected by direct calls, with a manual clock."""

    def __init__(self, folder, disks=None, **settings):
        self.folder = folder
        self.disks = disks or {}
        self.settings = settings
        self.clock = ManualClock()
        self.replicas = {}
        self.machines = {}
        self.scopes = {}
        self.muted = set()
        self.on_send = lambda message: None

    def send(self, to, message):
        self.on_send(message)
        if to in self.replicas and to not in self.muted:
            self.replicas[to].receive(message)

    def start(self, tasks, name):
        disk = self.disks.get(name, OsDisk())
        store = LogStore.open(self.folder / name, disk=disk).unwrap()
        self.machines[name] = RecordingMachine()
        settings = ReplicaSettings(name, NAMES, 300, 50, **self.settings)
        replica = Replica(
            settings=settings,
            store=store,
            machine=self.machines[name],
            clock=self.clock,
            random=Random(name),
            send=self.send,
        )
        scope = anyio.CancelScope()

        async def run():
            with scope:
                await replica.run()

        self.replicas[name] = replica
        self.scopes[name] = scope
        tasks.start_soon(run)

    def stop(self, name):
        del self.replicas[name]
        self.scopes.pop(name).cancel()

    async def advance(self, seconds=STEP_SECONDS):
        self.clock.advance(seconds)
        for replica in self.replicas.values():
            replica._wake.set()
        await settle()

    async def wait_until(self, condition):
        for _ in range(MAX_STEPS):
            if found := condition():
                return found
            await self.advance()
        raise AssertionError("condition not reached")

    async def call(self, function, *arguments):
        answers = []

        async def store_answer():
            answers.append(await function(*arguments))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(store_answer)
            await self.wait_until(lambda: answers)
        return answers[0]

    def find_leader(self):
        statuses = [(r.status, r) for r in self.replicas.values()]
        return next(
            (r for s, r in statuses if s.role is Role.LEADER and s.is_fresh),
            None,
        )

    async def leader(self):
        return await self.wait_until(self.find_leader)

    async def wait_applied(self, count):
        await self.wait_until(
            lambda: all(
                len(self.machines[name].commands) >= count
                for name in self.replicas
            )
        )


@asynccontextmanager
async def running(folder, **settings):
    cluster = Cluster(folder, **settings)
    async with anyio.create_task_group() as tasks:
        for name in NAMES:
            cluster.start(tasks, name)
        yield cluster, tasks
        tasks.cancel_scope.cancel()


@pytest.fixture(autouse=True)
def direct_writes(monkeypatch):
    """Write on the event loop, so that writes take no time."""

    async def run_sync(function, *arguments, limiter):
        return function(*arguments)

    monkeypatch.setattr(anyio.to_thread, "run_sync", run_sync)


@pytest.mark.parametrize("snapshot_after", [10_000, 5])
def test_commits_survive_a_restart_of_all_members(tmp_path, snapshot_after):
    """Check that commits survive a restart, with and without snapshots.

    Only the leader accepts proposals and confirms its leadership.
    """
    commands = [f"c{number}" for number in range(12)]
    settings = {"snapshot_after_entries": snapshot_after}

    async def first_run():
        async with running(tmp_path, **settings) as (cluster, _):
            leader = await cluster.leader()
            applied_indexes = []
            leader.on_applied(applied_indexes.append)
            for position, command in enumerate(commands):
                outcome = await cluster.call(leader.propose, command.encode())
                assert outcome == Ok(position + 1)
            assert applied_indexes == sorted(set(applied_indexes))
            assert applied_indexes[-1] == leader.status.applied_index
            assert await cluster.call(leader.confirm_leadership)
            follower = next(
                r for r in cluster.replicas.values() if r is not leader
            )
            assert not await cluster.call(follower.confirm_leadership)
            refused = await cluster.call(follower.propose, b"x")
            assert refused == Err(NotLeader(leader.status.leader))
            await cluster.wait_applied(len(commands))

    async def second_run():
        async with running(tmp_path, **settings) as (cluster, _):
            leader = await cluster.leader()
            outcome = await cluster.call(leader.propose, b"last")
            assert outcome == Ok(len(commands) + 1)
            await cluster.wait_applied(len(commands) + 1)
            for machine in cluster.machines.values():
                assert machine.commands == [*commands, "last"]

    anyio.run(first_run)
    anyio.run(second_run)


def test_failover_and_rejoining_with_an_empty_disk(tmp_path):
    """Check that commits go on without the leader.

    The old leader returns with an empty disk, receives a snapshot and
    becomes a voter again.
    """

    async def run():
        async with running(tmp_path, snapshot_after_entries=4) as (
            cluster,
            tasks,
        ):
            leader = await cluster.leader()
            name = leader.status.leader
            await cluster.call(leader.propose, b"one")
            cluster.stop(name)
            leader = await cluster.leader()
            for word in (b"two", b"three", b"four", b"five"):
                assert (await cluster.call(leader.propose, word)).is_ok()
            for path in (tmp_path / name).iterdir():
                path.unlink()
            cluster.start(tasks, name)
            await cluster.wait_applied(5)
            await cluster.wait_until(
                lambda: all(
                    m.role.value == "voter" and m.is_alive
                    for m in leader.status.members
                )
            )

    anyio.run(run)


@pytest.mark.parametrize(
    ("attribute", "fault"), [("fails_sync", SyncFailed), ("is_full", DiskFull)]
)
def test_failed_store_stops_the_replica(attribute, fault):
    """Check that a replica with a failed store stops participating.

    It is unknown what its store contains, so it must not acknowledge
    anything. The other members elect a new leader.
    """

    async def run():
        disks = {name: FakeDisk(Random(name)) for name in NAMES}
        settings = {"disks": disks, "log_name": "claims"}
        async with running(Path("/data"), **settings) as (cluster, _):
            leader = await cluster.leader()
            name = leader.status.leader
            await cluster.call(leader.propose, b"one")
            setattr(disks[name], attribute, True)
            outcome = await cluster.call(leader.propose, b"two")
            assert outcome == Err(OutcomeUnknown())
            assert leader.status.role is Role.FAILED
            assert leader.status.leader is None
            assert isinstance(leader.status.fault, fault)
            refused = await cluster.call(leader.propose, b"three")
            assert refused == Err(StoreFailed(leader.status.fault))
            other = await cluster.leader()
            assert other is not leader
            assert (await cluster.call(other.propose, b"four")).is_ok()

    with capture_logs() as events:
        anyio.run(run)
    assert {"role_changed", "store_failed"} <= {e["event"] for e in events}
    assert {event["log"] for event in events} == {"claims"}


@pytest.mark.parametrize("attribute", ["is_full", "fails_sync"])
def test_disks_that_fail_one_after_another_leave_a_quorum(attribute):
    """Guard against members that stay out of the log for good.

    Each disk fails for a while, never two at once. Callers saw every
    later change refused once a second disk had failed.
    """

    async def run():
        disks = {name: FakeDisk(Random(name)) for name in NAMES}
        async with running(Path("/data"), disks=disks) as (cluster, _):
            for round_number in range(4):
                leader = await cluster.leader()
                failed = leader.status.leader
                setattr(disks[failed], attribute, True)
                payload = f"lost {round_number}".encode()
                await cluster.call(leader.propose, payload)
                assert leader.status.role is Role.FAILED
                other = await cluster.leader()
                payload = f"kept {round_number}".encode()
                assert (await cluster.call(other.propose, payload)).is_ok()
                disks[failed].clear_faults()
                await cluster.wait_until(
                    lambda leader=leader: leader.status.role is Role.FOLLOWER
                )
            last = await cluster.leader()
            assert (await cluster.call(last.propose, b"last")).is_ok()
            machines = cluster.machines.values()
            await cluster.wait_until(
                lambda: all(m.commands[-1] == "last" for m in machines)
            )
            commands = [machine.commands for machine in machines]
            assert commands[0] == commands[1] == commands[2]
            kept = [c for c in commands[0] if c.startswith("kept")]
            assert kept == [f"kept {number}" for number in range(4)]

    anyio.run(run)


def test_suspended_leader_acknowledges_nothing(tmp_path):
    """Check that a leader reports no success after its lease has ended.

    While it was suspended, another leader may have been elected.
    """

    async def run():
        async with running(tmp_path) as (cluster, _):
            leader = await cluster.leader()
            name = leader.status.leader
            cluster.muted = set(NAMES) - {name}
            answers = []

            async def store_answer(request, *arguments):
                answers.append(await request(*arguments))

            async with anyio.create_task_group() as requests:
                requests.start_soon(store_answer, leader.propose, b"one")
                requests.start_soon(store_answer, leader.confirm_leadership)
                await settle()
                assert answers == []
                await cluster.advance(10)
            assert sorted(answers, key=str) == [Err(OutcomeUnknown()), False]
            assert not leader.status.is_fresh

    anyio.run(run)


@pytest.mark.parametrize("is_call_first", [False, True])
@pytest.mark.parametrize("count", [0, 1, 2])
def test_a_new_leader_confirms_no_index_below_what_was_acknowledged(
    tmp_path, count, is_call_first
):
    """Guard against a read that misses acknowledged commands.

    After a restart of all members the commit index is 0 until the new
    leader has the replies to its first entry. They are held back here,
    and the call is made just before or after ``count`` of them arrive.
    """

    async def first_run():
        async with running(tmp_path) as (cluster, _):
            leader = await cluster.leader()
            for _ in range(5):
                await cluster.call(leader.propose, b"one")
            return leader.status.commit_index

    async def second_run():
        async with running(tmp_path) as (cluster, tasks):
            leader, held = await hold_replies(cluster)
            assert leader.status.commit_index == 0
            answers = []

            async def confirm():
                answers.append(await leader.confirm_commit_index())

            if is_call_first:
                tasks.start_soon(confirm)
                await cluster.advance()
                assert answers == []
            for reply in held[:count]:
                leader.receive(reply)
            cluster.muted.clear()
            async with anyio.create_task_group() as steps:
                steps.start_soon(cluster.wait_until, lambda: answers)
                if not is_call_first:
                    # Nothing runs between the replies and the call.
                    await confirm()
            return answers[0]

    acknowledged = anyio.run(first_run)
    assert acknowledged >= 5
    assert anyio.run(second_run) >= acknowledged


async def hold_replies(cluster):
    """Elect a leader; return it and the replies that it doesn't get."""
    held = []

    def hold(message):
        if isinstance(message, AppendRequest):
            cluster.muted = {message.leader}
        elif isinstance(message, AppendReply):
            held.append(message)

    cluster.on_send = hold
    await cluster.wait_until(lambda: len(held) >= 2)
    cluster.on_send = lambda message: None
    (name,) = cluster.muted
    return cluster.replicas[name], held


def test_proposals_over_a_limit_are_rejected(tmp_path):
    """Check that oversized and excess proposals are rejected.

    They are not appended, so the outcome is known to the caller.
    """

    async def run():
        async with running(tmp_path, max_pending_proposals=1) as (cluster, _):
            leader = await cluster.leader()
            large = bytes(MAX_PAYLOAD_BYTES + 1)
            refused = (await leader.propose(large)).err()
            assert isinstance(refused, PayloadTooLarge)
            answers = []

            async def store_answer(payload):
                answers.append(await leader.propose(payload))

            async with anyio.create_task_group() as requests:
                for payload in (b"one", b"two"):
                    requests.start_soon(store_answer, payload)
                await settle()
            assert sorted(answers, key=str) == [Err(Overloaded()), Ok(1)]

    anyio.run(run)


def test_unresponsive_voter_is_replaced_by_a_learner(tmp_path):
    """Check that a caught-up learner replaces an unresponsive voter.

    Otherwise the loss of a second voter would end the quorum.
    """

    async def run():
        async with running(tmp_path, repair_after_seconds=2.0) as (
            cluster,
            tasks,
        ):
            leader = await cluster.leader()
            await cluster.call(leader.propose, b"one")
            cluster.start(tasks, "d")
            added = await cluster.call(
                leader.change_membership, AddLearner("d")
            )
            assert added.is_ok()
            lost = next(n for n in NAMES if n != leader.status.leader)
            cluster.stop(lost)

            def voters():
                members = leader.status.members
                return {m.name for m in members if m.role.value == "voter"}

            await cluster.wait_until(
                lambda: voters() == {*NAMES, "d"} - {lost}
            )
            assert (await cluster.call(leader.propose, b"two")).is_ok()

    anyio.run(run)


def test_the_log_tells_which_voters_a_candidate_lacks(tmp_path):
    """Check that a lost quorum is explained, and only once."""

    async def run():
        async with running(tmp_path) as (cluster, tasks):
            leader = await cluster.leader()
            cluster.start(tasks, "d")
            with capture_logs() as lines:
                await cluster.call(leader.change_membership, AddLearner("d"))
            changes = [
                (line["voters"], line["learners"])
                for line in lines
                if line["event"] == "members_changed"
            ]
            assert set(changes) == {("a,b,c", "d")}
            name = leader.status.leader
            kept, silent = (n for n in NAMES if n != name)
            cluster.stop(name)
            cluster.stop(silent)
            with capture_logs() as lines:
                for _ in range(500):
                    await cluster.advance()
            missing = [
                (line["replica"], line["missing"], line["quorum"])
                for line in lines
                if line["event"] == "election_not_won"
            ]
            assert missing == [(kept, ",".join(sorted((name, silent))), 2)]

    anyio.run(run)


@pytest.mark.parametrize("is_repaired", [False, True])
def test_a_second_voter_is_lost_around_a_repair(tmp_path, is_repaired):
    """Check which losses a replacement of a voter survives.

    After the promotion of the learner four members vote, two of them
    lost: nothing is decided until one is back, and nothing is lost.
    Once the replaced voter is demoted, the rest decides on.
    """

    async def run():
        async with running(tmp_path, repair_after_seconds=2.0) as (
            cluster,
            tasks,
        ):
            leader = await cluster.leader()
            await cluster.call(leader.propose, b"one")
            cluster.start(tasks, "d")
            await cluster.call(leader.change_membership, AddLearner("d"))
            first, second = (n for n in NAMES if n != leader.status.leader)
            cluster.stop(first)

            def voters():
                members = leader.status.members
                return {m.name for m in members if m.role.value == "voter"}

            def cut_at_promotion(message):
                if not is_repaired and len(voters()) > len(NAMES):
                    cluster.muted.add(second)

            cluster.on_send = cut_at_promotion
            expected = {*NAMES, "d"} - ({first} if is_repaired else set())
            await cluster.wait_until(lambda: voters() == expected)
            cluster.stop(second)
            for _ in range(500):
                await cluster.advance()
            assert (cluster.find_leader() is not None) == is_repaired
            cluster.start(tasks, first)
            leader = await cluster.leader()
            assert (await cluster.call(leader.propose, b"two")).is_ok()
            await cluster.wait_applied(2)
            for name in cluster.replicas:
                assert cluster.machines[name].commands == ["one", "two"]

    anyio.run(run)


ENTRIES = 30


async def restart_with_entries(folder, on_apply):
    """Restart all members of a log whose entries take long to apply.

    Together they take twice the election timeout. Return how often a
    leader was elected until all members had applied all.
    """
    async with running(folder) as (first, _):
        leader = await first.leader()
        for number in range(ENTRIES):
            await first.call(leader.propose, str(number).encode())
        await first.wait_applied(ENTRIES)
        before = leader.status.term
    async with running(folder) as (second, _):

        def apply():
            second.clock.advance(0.02)
            on_apply(second)

        for machine in second.machines.values():
            machine.on_apply = apply

        await second.wait_applied(ENTRIES)
        for _ in range(100):
            await second.advance()
        return (await second.leader()).status.term - before


def test_a_leader_keeps_its_quorum_while_members_apply_entries(tmp_path):
    """Check that members answer while they catch up after a restart."""

    async def scenario():
        elections = await restart_with_entries(tmp_path, lambda _: None)
        assert elections == 1

    anyio.run(scenario)


def test_a_member_is_not_fresh_until_it_has_applied_what_it_took(tmp_path):
    """Check that no state is taken for current that lacks entries.

    A node that restarts would begin with an older release than before.
    """
    seen = []

    def check(cluster):
        for name, replica in cluster.replicas.items():
            behind = ENTRIES - len(cluster.machines[name].commands)
            if replica._backlog and behind > 0:
                status = replica.status
                seen.append((status.is_fresh, status.confirmed_at))

    async def scenario():
        await restart_with_entries(tmp_path, check)

    anyio.run(scenario)
    assert seen
    assert set(seen) == {(False, None)}


def test_replies_are_sent_before_entries_are_applied(tmp_path):
    """Check that a long entry does not hold back replies to others."""
    queued, seen = [], []

    def queue(message):
        queued.append(message)
        asyncio.get_running_loop().call_soon(queued.remove, message)

    def check(cluster):
        cluster.on_send = queue
        seen.append(len(queued))

    async def scenario():
        await restart_with_entries(tmp_path, check)

    anyio.run(scenario)
    assert len(seen) == ENTRIES * len(NAMES)
    assert not any(seen)


def test_a_leader_stays_fresh_while_it_applies_new_entries(tmp_path):
    """Check that usual commits do not suspend freshness.

    Operators and nodes would see no leader at each change.
    """
    seen = []

    async def scenario():
        async with running(tmp_path) as (group, _):
            leader = await group.leader()
            await group.call(leader.propose, b"first")
            await group.wait_applied(1)

            def check():
                group.clock.advance(0.03)
                if leader._backlog:
                    seen.append(leader.status.is_fresh)

            name = leader.status.leader
            group.machines[name].on_apply = check
            async with anyio.create_task_group() as tasks:
                for number in range(4):
                    tasks.start_soon(leader.propose, str(number).encode())
                await group.wait_applied(5)
            assert leader.status.is_fresh

    anyio.run(scenario)
    assert seen
    assert all(seen)

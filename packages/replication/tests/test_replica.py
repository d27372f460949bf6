"""Replicas on real files, joined by a direct call in one process."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from random import Random

import anyio
import pytest
from result import Err, Ok

from rhubarbhollow_replication import (
    LogStore,
    NotLeader,
    Replica,
    ReplicaSettings,
    Role,
)
from rhubarbhollow_wire.clock import SystemClock

NAMES = ("a", "b", "c")


class Journal:
    """A state machine that remembers every command."""

    def __init__(self):
        self.commands = []

    def apply(self, index, payload):
        self.commands.append(payload.decode())
        return len(self.commands)

    def snapshot(self):
        return json.dumps(self.commands).encode()

    def restore(self, data):
        self.commands = json.loads(data)


class Group:
    """Three replicas and the set of members that are running."""

    def __init__(self, folder, **settings):
        self.folder = folder
        self.settings = settings
        self.replicas = {}
        self.machines = {}
        self.scopes = {}
        self.traffic = anyio.Event()

    def send(self, to, message):
        self.traffic.set()
        if to in self.replicas:
            self.replicas[to].receive(message)

    async def start(self, tasks, name):
        store = LogStore.open(self.folder / name).unwrap()
        self.machines[name] = Journal()
        replica = Replica(
            settings=ReplicaSettings(name, NAMES, 300, 50, **self.settings),
            store=store,
            machine=self.machines[name],
            clock=SystemClock(),
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

    async def wait_until(self, condition):
        with anyio.fail_after(20):
            while not (found := condition()):
                self.traffic = anyio.Event()
                await self.traffic.wait()
        return found

    async def leader(self):
        def find():
            return next(
                (
                    replica
                    for replica in self.replicas.values()
                    if replica.status.role is Role.LEADER
                    and replica.status.is_fresh
                ),
                None,
            )

        return await self.wait_until(find)

    async def wait_applied(self, count):
        await self.wait_until(
            lambda: all(
                len(self.machines[name].commands) >= count
                for name in self.replicas
            )
        )


@asynccontextmanager
async def running(folder, **settings):
    group = Group(folder, **settings)
    async with anyio.create_task_group() as tasks:
        for name in NAMES:
            await group.start(tasks, name)
        yield group, tasks
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("snapshot_after", [10_000, 5])
def test_commits_survive_a_restart_of_everyone(tmp_path, snapshot_after):
    commands = [f"c{number}" for number in range(12)]

    async def first_run():
        async with running(
            tmp_path, snapshot_after_entries=snapshot_after
        ) as (group, _):
            leader = await group.leader()
            for position, command in enumerate(commands):
                outcome = await leader.propose(command.encode())
                assert outcome == Ok(position + 1)
            assert await leader.confirm_leadership()
            follower = next(
                r for r in group.replicas.values() if r is not leader
            )
            refused = await follower.propose(b"x")
            assert refused == Err(NotLeader(leader.status.leader))
            await group.wait_applied(len(commands))

    async def second_run():
        async with running(
            tmp_path, snapshot_after_entries=snapshot_after
        ) as (group, _):
            leader = await group.leader()
            assert await leader.propose(b"last") == Ok(len(commands) + 1)
            await group.wait_applied(len(commands) + 1)
            for machine in group.machines.values():
                assert machine.commands == [*commands, "last"]

    anyio.run(first_run)
    anyio.run(second_run)


def test_a_new_leader_takes_over_and_a_lost_disk_rejoins(tmp_path):
    async def run():
        async with running(tmp_path, snapshot_after_entries=4) as (
            group,
            tasks,
        ):
            leader = await group.leader()
            name = leader.status.leader
            await leader.propose(b"one")
            group.stop(name)
            leader = await group.leader()
            for word in (b"two", b"three", b"four", b"five"):
                assert (await leader.propose(word)).is_ok()
            for path in (tmp_path / name).iterdir():
                path.unlink()
            await group.start(tasks, name)
            await group.wait_applied(5)
            await group.wait_until(
                lambda: all(
                    m.role.value == "voter" for m in leader.status.members
                )
            )

    anyio.run(run)

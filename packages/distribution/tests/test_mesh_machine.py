"""Random histories of a small mesh, by hypothesis and by seed."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)
from small_mesh import Mesh
from small_releases import resources_at
from test_announcement import DESK

CONTROLS = (("i1", "ilala"), ("i2", "ilala"), ("t1", "temeke"))
NODES = (("a", "ilala"), ("b", "ilala"), ("c", "temeke"))
CUTS = ((), ("ilala",), ("temeke",), ("ilala", "temeke"))
CHOICES = st.integers(min_value=0, max_value=59)


class Steps:
    """What can happen; a number picks the one it happens to."""

    def __init__(self):
        self.mesh = Mesh(CONTROLS, NODES)

    def node(self, pick):
        return self.mesh.nodes[pick % len(NODES)]

    def control(self, pick):
        return self.mesh.controls[pick // len(NODES) % len(CONTROLS)]

    def link(self, pick):
        return self.mesh.links.get(self.node(pick).name)

    def accept(self, _pick):
        self.mesh.accept_release()

    def plan(self, _pick):
        self.mesh.plan()

    def sync(self, pick):
        self.mesh.sync(self.control(pick))

    def connect(self, pick):
        self.mesh.connect(self.node(pick), self.control(pick))

    def disconnect(self, pick):
        self.mesh.disconnect(self.node(pick))

    def exchange(self, pick):
        """Move a few messages over one connection."""
        link = self.link(pick)
        for _ in range(pick % 5 + 1 if link else 0):
            self.mesh.send(link)
            self.mesh.deliver_to_node(link)
            self.mesh.deliver_to_control(link)

    def pump(self, pick):
        link = self.link(pick)
        if link:
            self.mesh.pump(link)

    def deliver(self, pick):
        link = self.link(pick)
        if link:
            self.mesh.deliver_to_node(link)

    def replay(self, pick):
        """Hand a node any earlier message of this process again."""
        node = self.node(pick)
        if node.received and node.holder.active is not None:
            message = node.received[pick % len(node.received)]
            node.handle(message, self.control(pick))

    def call(self, pick):
        self.mesh.call(self.node(pick), self.node(pick // len(NODES)))

    def announce(self, pick):
        name = f"desk-{pick % 2}"
        book = self.node(pick // 2).book
        book.announce(replace(DESK, name=name, slots=pick + 1)).unwrap()

    def withdraw(self, pick):
        self.node(pick // 2).book.withdraw(f"desk-{pick % 2}")

    def restart_node(self, pick):
        self.mesh.restart_node(self.node(pick))

    def bounce(self, pick):
        """Restart a node, which connects again at once."""
        self.restart_node(pick)
        self.connect(pick)
        self.pump(pick)

    def restart_control(self, pick):
        self.mesh.restart_control(self.control(pick))

    def cut(self, pick):
        self.mesh.set_cut(CUTS[pick % len(CUTS)])

    def trade_endpoints(self, _pick):
        self.mesh.exchange_all()

    def wait(self, pick):
        self.mesh.pass_time(pick / 100)

    def wait_long(self, _pick):
        """Outwait leases and the isolated start, with heartbeats."""
        for _ in range(12):
            self.mesh.pass_time(0.5)
            self.mesh.pump_all()

    def check(self):
        for node in self.mesh.nodes:
            node.check()

    def finish(self):
        """Heal the mesh; every node must agree on everything."""
        mesh = self.mesh
        mesh.settle()
        announced = {
            record
            for node in mesh.nodes
            for record in node.book.records
            if not record.is_gone
        }
        for node in mesh.nodes:
            assert node.holder.active_position == mesh.latest == mesh.active
            if mesh.latest:
                expected = resources_at(mesh.latest).digest
                assert node.holder.active_digest == expected
            assert set(node.table.records) == announced


class MeshMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.steps = Steps()

    @invariant()
    def holds(self):
        self.steps.check()

    def teardown(self):
        self.steps.finish()


NAMES = (
    *("accept", "plan", "sync", "connect", "disconnect", "exchange"),
    *("pump", "deliver", "replay", "call", "announce", "withdraw"),
    *("restart_node", "bounce", "restart_control", "cut"),
    *("trade_endpoints", "wait", "wait_long"),
)
for each in NAMES:

    def step(self, pick, each=each):
        getattr(self.steps, each)(pick)

    step.__name__ = each
    setattr(MeshMachine, each, rule(pick=CHOICES)(step))

TestMesh = MeshMachine.TestCase
TestMesh.settings = settings(max_examples=60, stateful_step_count=60)

WEIGHTS = {"exchange": 9, "pump": 6, "sync": 6, "plan": 3, "call": 4}


@pytest.mark.parametrize("seed", range(20))
def test_long_run(seed):
    rng = random.Random(seed)
    steps = Steps()
    weights = [WEIGHTS.get(name, 1) for name in NAMES]
    for name in rng.choices(NAMES, weights, k=5000):
        getattr(steps, name)(rng.randrange(60))
        steps.check()
    steps.finish()
    assert steps.mesh.latest > 50

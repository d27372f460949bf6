"""Random histories of a small mesh, by hypothesis and by seed."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from endpoint_fakes import DESK
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from small_mesh import Mesh
from small_releases import resources_at

CONTROLS = (("i1", "ilala"), ("i2", "ilala"), ("t1", "temeke"))
NODES = (("a", "ilala"), ("b", "ilala"), ("c", "temeke"))
CUTS = ((), ("ilala",), ("temeke",), ("ilala", "temeke"))
PICKS = 60


def exchange(mesh, link, pick):
    """Move a few messages over one connection."""
    for _ in range(pick % 5 + 1):
        mesh.send(link)
        mesh.deliver_to_node(link)
        mesh.deliver_to_control(link)


def replay(mesh, node, control, pick):
    """Hand a node any earlier message of this process again."""
    if node.received and node.holder.active is not None:
        node.handle(node.received[pick % len(node.received)], control)


def bounce(mesh, node, control):
    """Restart a node, which connects again at once."""
    mesh.restart_node(node)
    mesh.connect(node, control)
    mesh.pump_all()


def announce(node, pick):
    desk = replace(DESK, name=f"desk-{pick % 2}", slots=pick + 1)
    node.book.announce(desk).unwrap()


def wait_long(mesh):
    """Outwait leases and the isolated start, with heartbeats."""
    for _ in range(12):
        mesh.pass_time(0.5)
        mesh.pump_all()


# By weight; a step gets the mesh, a node, an instance, the node's link,
# another node and the number that picked them.
STEPS = {
    "accept": (3, lambda m, n, c, k, o, p: m.accept_release()),
    "plan": (3, lambda m, n, c, k, o, p: m.plan()),
    "sync": (6, lambda m, n, c, k, o, p: m.sync(c)),
    "connect": (1, lambda m, n, c, k, o, p: m.connect(n, c)),
    "disconnect": (1, lambda m, n, c, k, o, p: m.disconnect(n)),
    "exchange": (9, lambda m, n, c, k, o, p: k and exchange(m, k, p)),
    "pump": (6, lambda m, n, c, k, o, p: k and m.pump(k)),
    "deliver": (1, lambda m, n, c, k, o, p: k and m.deliver_to_node(k)),
    "replay": (1, lambda m, n, c, k, o, p: replay(m, n, c, p)),
    "call": (4, lambda m, n, c, k, o, p: m.call(n, o)),
    "announce": (2, lambda m, n, c, k, o, p: announce(n, p)),
    "withdraw": (1, lambda m, n, c, k, o, p: n.book.withdraw(f"desk-{p % 2}")),
    "restart_node": (1, lambda m, n, c, k, o, p: m.restart_node(n)),
    "bounce": (5, lambda m, n, c, k, o, p: bounce(m, n, c)),
    "restart_control": (1, lambda m, n, c, k, o, p: m.restart_control(c)),
    "cut": (2, lambda m, n, c, k, o, p: m.set_cut(CUTS[p % len(CUTS)])),
    "trade": (1, lambda m, n, c, k, o, p: m.exchange_all()),
    "wait": (1, lambda m, n, c, k, o, p: m.pass_time(p / 100)),
    "wait_long": (2, lambda m, n, c, k, o, p: wait_long(m)),
}


def take_step(mesh, name, pick):
    node = mesh.nodes[pick % 3]
    control = other = pick // 3 % 3
    _, step = STEPS[name]
    step(
        mesh,
        node,
        mesh.controls[control],
        mesh.links.get(node.name),
        mesh.nodes[other],
        pick,
    )


def check_settled(mesh):
    """Heal the mesh; every node must agree on everything."""
    mesh.settle()
    records = [each for node in mesh.nodes for each in node.book.records]
    announced = {record for record in records if not record.is_gone}
    for node in mesh.nodes:
        assert node.holder.active_position == mesh.latest == mesh.active
        if mesh.latest:
            expected = resources_at(mesh.latest).digest
            assert node.holder.active_digest == expected
        assert set(node.table.records) == announced


class MeshMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.mesh = Mesh(CONTROLS, NODES)

    @rule(
        name=st.sampled_from(sorted(STEPS)),
        pick=st.integers(0, PICKS - 1),
    )
    def step(self, name, pick):
        take_step(self.mesh, name, pick)

    @invariant()
    def holds(self):
        self.mesh.check()

    def teardown(self):
        check_settled(self.mesh)


TestMesh = MeshMachine.TestCase
TestMesh.settings = settings(max_examples=100, stateful_step_count=60)


@pytest.mark.parametrize("seed", [*range(20), 2128535890, 3195655209])
def test_long_run(seed):
    assert run_long(seed).latest > 50


def run_long(seed):
    """Take seeded steps, check the invariants, and settle the mesh."""
    rng = random.Random(seed)
    mesh = Mesh(CONTROLS, NODES)
    weights = [weight for weight, _ in STEPS.values()]
    for _ in range(10):
        for name in rng.choices(list(STEPS), weights, k=500):
            take_step(mesh, name, rng.randrange(PICKS))
            mesh.check()
        check_settled(mesh)
    return mesh

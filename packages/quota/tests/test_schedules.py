"""No schedule of faults admits more than a quota."""

from __future__ import annotations

import os
from random import Random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from quota_world import World

from rhubarbhollow_quota.quota import Quota

SEEDS = int(os.environ.get("QUOTA_SEEDS", "12"))
EXAMPLES = int(os.environ.get("QUOTA_EXAMPLES", "60"))
NODES = 5
CONTROLS = 3

node = st.integers(0, NODES - 1).map(lambda index: f"n{index}")
control = st.integers(0, CONTROLS - 1).map(lambda index: f"c{index}")
any_process = st.one_of(node, control)
quota = st.sampled_from(
    [Quota(5, 5), Quota(20, 10), Quota(50, 50), Quota(8, 30), Quota(100, 20)]
)
pause = st.sampled_from([0.03, 0.2, 0.7, 2.0, 6.0, 11.0, 25.0, 52.0])
action = st.one_of(
    st.tuples(st.just("cut"), any_process, any_process),
    st.tuples(st.just("isolate"), control),
    st.tuples(st.just("heal")),
    st.tuples(st.just("kill_node"), node),
    st.tuples(st.just("start_node"), node, control),
    st.tuples(st.just("kill_control"), control),
    st.tuples(st.just("start_control"), control),
    st.tuples(st.just("move"), node, control),
    st.tuples(st.just("depose")),
    st.tuples(st.just("elect"), control),
    st.tuples(st.just("fail_over"), control, control),
    st.tuples(st.just("gather"), control),
    st.tuples(st.just("quota"), quota),
)
step = st.tuples(
    action,
    pause,
    st.sampled_from([0.0, 3.0, 120.0, 300.0]),
    st.lists(node, min_size=1, max_size=3),
)


def isolate(world, name):
    for other in world.sites:
        if other != name:
            world.blocked.add(frozenset((name, other)))


def restart_node(world, name, home):
    world.kill_leaf(name)
    is_up = world.sites[home].is_alive
    world.start_leaf(name, home if is_up else None)


def restart_control(world, name):
    world.kill_site(name)
    world.start_site(name)


def move(world, name, home):
    if world.sites[home].is_alive:
        world.move(name, home)


def elect(world, name):
    if world.leader is None and world.sites[name].is_alive:
        world.elect(name)


def fail_over(world, cut_off, successor):
    """Cut an instance off while another becomes the leader."""
    isolate(world, cut_off)
    world.depose()
    world.run(world.now + 0.6)
    elect(world, successor)


def gather(world, home):
    """Move every node, so that demand is in one place."""
    for name in tuple(world.leaves):
        move(world, name, home)


ACTIONS = {
    "cut": lambda world, *pair: world.blocked.add(frozenset(pair)),
    "isolate": isolate,
    "heal": lambda world: world.blocked.clear(),
    "kill_node": lambda world, name: world.kill_leaf(name),
    "start_node": restart_node,
    "kill_control": lambda world, name: world.kill_site(name),
    "start_control": restart_control,
    "move": move,
    "depose": lambda world: world.depose(),
    "elect": elect,
    "fail_over": fail_over,
    "gather": gather,
    "quota": lambda world, quota: world.change_quota("a", quota, spread=0.3),
}


def play(first, steps, seed):
    world = World(
        {"a": first, "b": Quota(30, 30)},
        seed=seed,
        controls=CONTROLS,
        nodes=NODES,
        tick=0.02,
        jitter=0.03,
    )
    for action, seconds, rate, leaves in steps:
        ACTIONS[action[0]](world, *action[1:])
        until = world.now + seconds
        if rate:
            # More than a second of load adds no new interleaving.
            world.load("a", rate, leaves, min(until, world.now + 2.0))
            world.load("a", rate, leaves, until, max(world.now, until - 1.0))
            world.load("b", 20.0, leaves, min(until, world.now + 0.5))
        world.run(max(until, world.now))
    return world


@settings(
    max_examples=EXAMPLES,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
@given(quota, st.lists(step, min_size=3, max_size=14), st.integers(0, 999))
def test_no_schedule_exceeds_the_quota(first, steps, seed):
    """Guards against two holders of one part of a quota."""
    play(first, steps, seed)


def random_action(random):
    name = random.choice(
        [
            "fail_over",
            "fail_over",
            "move",
            "start_node",
            "heal",
            "heal",
            "gather",
            "start_control",
            "isolate",
        ]
    )
    nodes = [f"n{index}" for index in range(NODES)]
    controls = [f"c{index}" for index in range(CONTROLS)]
    match name:
        case "fail_over":
            return (name, *random.sample(controls, 2))
        case "move" | "start_node":
            return (name, random.choice(nodes), random.choice(controls))
        case "gather" | "start_control" | "isolate":
            return (name, random.choice(controls))
    return (name,)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_faults_under_lasting_overload_exceed_no_quota(seed):
    """Guards against excess that a pause between loads would hide.

    Two nodes at a time ask for five times the quota, one message of
    ten is lost, and faults follow each other.
    """
    random = Random(seed)
    world = World(
        {"a": Quota(40, 40)},
        seed=seed,
        controls=CONTROLS,
        nodes=NODES,
        tick=0.02,
        jitter=0.03,
        loss=0.1,
    )
    while world.now < 25.0:
        until = world.now + random.choice((0.4, 1.5, 4.0))
        asking = random.sample(list(world.leaves), 2)
        world.load("a", 200.0, asking, until)
        world.run(until)
        action = random_action(random)
        ACTIONS[action[0]](world, *action[1:])
        if world.leader is None:
            world.run(world.now + 0.6)
            elect(world, random.choice(list(world.sites)))


def test_a_new_leader_leaves_room_for_a_data_centre_that_is_cut_off():
    """Guards against a quota that is leased by two leaders.

    The data centre keeps most of the quota, since only its nodes had
    demand; those of the new leader ask for all of it.
    """
    world = World({"a": Quota(40, 40)}, controls=3, nodes=6)
    away, home = ["n1", "n4"], ["n2", "n5"]
    world.load("a", 200.0, away, 30.0, 2.0)
    world.run(8.0)
    fail_over(world, "c1", "c2")
    assert world.leader == "c2"
    world.load("a", 200.0, home, 30.0)
    before = world.admitted["a"]
    world.run(30.0)
    assert world.admitted["a"] > before

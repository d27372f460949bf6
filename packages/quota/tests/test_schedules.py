"""No schedule of faults admits more than a quota."""

from __future__ import annotations

import os

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from quota_world import World

from rhubarbhollow_quota.quota import Quota

EXAMPLES = int(os.environ.get("QUOTA_EXAMPLES", "150"))
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
    st.tuples(st.just("quota"), quota),
)
step = st.tuples(
    action,
    pause,
    st.sampled_from([0.0, 3.0, 30.0, 120.0]),
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
            world.load("a", rate, leaves, min(until, world.now + 3.0))
            world.load("a", rate, leaves, until, max(world.now, until - 1.0))
            world.load("b", 20.0, leaves, min(until, world.now + 0.5))
        world.run(until)
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

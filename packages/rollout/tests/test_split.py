"""Guards against nodes that exceed the share they may expose."""

from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from rhubarbhollow_rollout.attempt import AttemptEnd
from rhubarbhollow_rollout.messages import RolloutExposure, RolloutView
from rhubarbhollow_rollout.node import NodeRollouts
from rhubarbhollow_rollout.split import CONFIRMATION_SECONDS
from rhubarbhollow_wire.clock import ManualClock

SERVICE = "frame"


def make_view(
    revision: int, share: int, state: int = 1, number: int = 1
) -> RolloutView:
    return RolloutView(SERVICE, number, revision, "v2", "", state, share, 0)


class Node:
    """One node; counts what it sends to either version."""

    def __init__(self, clock: ManualClock, seed: int = 1) -> None:
        self.rollouts = NodeRollouts(clock, Random(seed))
        self.old = 0
        self.new = 0

    def hear(self, view: RolloutView, age_ms: int = 0) -> None:
        report = self.rollouts.next_report()
        self.rollouts.accept(RolloutExposure(report.sequence, age_ms, (view,)))

    def call(self) -> None:
        is_new = self.rollouts.take(SERVICE)
        self.new += is_new
        self.old += not is_new
        self.rollouts.record(
            SERVICE,
            "v2" if is_new else "v1",
            "r",
            "u",
            AttemptEnd.ANSWERED,
            0.1,
            is_warm=True,
        )


_EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("call"), st.integers(0, 3), st.integers(1, 60)),
        st.tuples(st.just("hear"), st.integers(0, 3), st.integers(0, 100)),
        st.tuples(st.just("restart"), st.integers(0, 3), st.just(0)),
        st.tuples(st.just("wait"), st.just(0), st.integers(1, 30)),
    ),
    max_size=80,
)


@given(_EVENTS, st.integers(0, 1 << 16))
def test_all_nodes_together_stay_within_the_share(
    events: list[tuple[str, int, int]], seed: int
) -> None:
    """Whatever nodes hear, and however often they restart.

    A node may be ahead of its share by less than one call.
    """
    clock = ManualClock()
    nodes = [Node(clock, seed + index) for index in range(4)]
    lives = 4
    counted = [0, 0]
    revision = 0
    for kind, index, amount in events:
        if kind == "wait":
            clock.advance(amount / 10)
        elif kind == "hear":
            revision += 1
            nodes[index].hear(make_view(revision, min(amount, 90)))
        elif kind == "restart":
            counted[0] += nodes[index].old
            counted[1] += nodes[index].new
            nodes[index] = Node(clock, seed + lives)
            lives += 1
        else:
            for _ in range(amount):
                nodes[index].call()
    old = counted[0] + sum(node.old for node in nodes)
    new = counted[1] + sum(node.new for node in nodes)
    assert new < 0.09 * (old + new) + lives


def test_many_restarts_do_not_raise_the_share() -> None:
    """A node that began with a whole call would expose 0.2 here.

    The share may be lower: what the last calls earn is lost.
    """
    clock = ManualClock()
    old = new = 0
    for seed in range(2000):
        node = Node(clock, seed)
        node.hear(make_view(1, 90))
        for _ in range(5):
            node.call()
        old += node.old
        new += node.new
    # Three standard deviations of the 2000 parts of a call are 39.
    assert new - 0.09 * (old + new) < 39


def exposed(node: Node, calls: int = 200) -> int:
    before = node.new
    for _ in range(calls):
        node.call()
    return node.new - before


def test_a_node_without_confirmation_uses_the_old_version() -> None:
    clock = ManualClock()
    node = Node(clock)
    node.hear(make_view(1, 90))
    assert exposed(node)
    clock.advance(CONFIRMATION_SECONDS)
    assert not exposed(node)
    # A message that answers no report proves nothing of its age.
    node.rollouts.accept(RolloutExposure(0, 0, (make_view(2, 90),)))
    assert not exposed(node)
    node.hear(make_view(2, 90))
    assert exposed(node)


def test_the_age_of_a_confirmation_counts() -> None:
    """A control instance that is cut off confirms nothing new."""
    clock = ManualClock()
    node = Node(clock)
    node.hear(make_view(1, 90), age_ms=1_500)
    assert exposed(node)
    clock.advance(0.6)
    assert not exposed(node)


def test_a_delayed_answer_counts_from_its_report() -> None:
    """A frozen process must not take an old answer for a fresh one."""
    clock = ManualClock()
    node = Node(clock)
    report = node.rollouts.next_report()
    clock.advance(2.5)
    node.rollouts.accept(
        RolloutExposure(report.sequence, 0, (make_view(1, 90),))
    )
    assert not exposed(node)


def test_a_rollback_is_applied_without_confirmation() -> None:
    clock = ManualClock()
    node = Node(clock)
    node.hear(make_view(1, 90))
    node.rollouts.accept(RolloutExposure(0, 0, (make_view(2, 90, 3),)))
    assert not exposed(node)


def test_an_older_view_is_ignored() -> None:
    """Another control instance may be behind."""
    clock = ManualClock()
    node = Node(clock)
    node.hear(make_view(3, 90, 3))
    node.hear(make_view(2, 90))
    assert not exposed(node)


def test_calls_turned_away_do_not_use_the_share_up() -> None:
    clock = ManualClock()
    node = Node(clock)
    node.hear(make_view(1, 90))
    for _ in range(40):
        node.call()
    taken = sum(node.rollouts.take(SERVICE) for _ in range(5))
    for _ in range(taken):
        node.rollouts.record(
            SERVICE, "v2", "r", "u", AttemptEnd.TURNED_AWAY, 0, is_warm=True
        )
    assert taken == sum(node.rollouts.take(SERVICE) for _ in range(5))


def test_nothing_is_recorded_without_a_rollout() -> None:
    node = Node(ManualClock())
    exposed(node)
    assert not node.new
    assert not node.rollouts.next_report().evidence
    assert not node.rollouts.is_running

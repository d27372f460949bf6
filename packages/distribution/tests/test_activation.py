"""The planner's choice of releases to activate."""

from __future__ import annotations

import random

import pytest

from rhubarbhollow_distribution.activation import (
    PROPOSAL_RETRY_SECONDS,
    SUMMARY_LEASE_SECONDS,
    ActivationPlanner,
)
from rhubarbhollow_distribution.invariant import InvariantViolation
from rhubarbhollow_distribution.position_count import PositionCount
from rhubarbhollow_distribution.register_summary import RegisterSummary
from rhubarbhollow_wire.clock import ManualClock

DEADLINE = 5.0
NONE: dict[int, int] = {}


def summary(control, live, staged=NONE, in_force=NONE):
    return RegisterSummary(
        control,
        live,
        tuple(PositionCount(*pair) for pair in staged.items()),
        tuple(PositionCount(*pair) for pair in in_force.items()),
    )


def planner_of(clock, *accepted, controls=("a", "b")):
    planner = ActivationPlanner(controls, clock, DEADLINE)
    for position in accepted:
        planner.record_accepted(position)
    return planner


@pytest.mark.parametrize(
    ("summaries", "expected"),
    [
        # Every node of every instance has staged it.
        ([("a", 2, {3: 2}, {2: 2}), ("b", 1, {3: 1}, {2: 1})], 3),
        # One node has not staged it.
        ([("a", 2, {3: 1}, {2: 2}), ("b", 1, {3: 1}, {2: 1})], None),
        # A node at a higher active position counts; one that has only
        # staged a higher position does not.
        ([("a", 2, {3: 1}, {2: 1, 4: 1}), ("b", 0)], 3),
        ([("a", 2, {3: 1, 4: 1}, {2: 2}), ("b", 0)], None),
        # The highest position staged everywhere is chosen.
        ([("a", 2, {3: 2, 4: 2}, {2: 2}), ("b", 0)], 4),
        # An instance without nodes is ready; one without a summary is
        # not.
        ([("a", 1, {3: 1}, {2: 1}), ("b", 0)], 3),
        ([("a", 1, {3: 1}, {2: 1})], None),
        # An instance that is not in the list is ignored.
        ([("a", 1, {3: 1}), ("b", 0), ("z", 9, {})], 3),
    ],
)
def test_ready_release_is_proposed(summaries, expected):
    planner = planner_of(ManualClock(), 3, 4)
    for fields in summaries:
        planner.record_summary(summary(*fields))
    assert planner.maybe_propose() == expected


def test_silent_instance_is_awaited_for_its_lease_only():
    clock = ManualClock()
    planner = planner_of(clock, 3)
    clock.advance(SUMMARY_LEASE_SECONDS / 2)
    planner.record_summary(summary("a", 1, {3: 1}))
    planner.record_summary(summary("b", 1))
    assert planner.maybe_propose() is None
    clock.advance(SUMMARY_LEASE_SECONDS * 0.99)
    planner.record_summary(summary("a", 1, {3: 1}))
    assert planner.maybe_propose() is None
    clock.advance(SUMMARY_LEASE_SECONDS * 0.01)
    assert planner.maybe_propose() == 3


def test_slow_node_delays_activation_by_the_deadline_only():
    clock = ManualClock()
    planner = planner_of(clock, 3)
    planner.record_summary(summary("a", 5, {3: 4}))
    planner.record_summary(summary("b", 0))
    assert planner.next_due() == DEADLINE
    for _ in range(5):
        assert planner.maybe_propose() is None
        clock.advance(1)
        planner.record_summary(summary("a", 5, {3: 4}))
    assert planner.maybe_propose() == 3
    planner.record_activated(3)
    assert planner.next_due() is None
    assert planner.maybe_propose() is None


def test_overdue_release_yields_to_a_more_widely_staged_one():
    clock = ManualClock()
    planner = planner_of(clock, 3)
    clock.advance(DEADLINE / 2)
    for position in (4, 5, 6):
        planner.record_accepted(position)
    clock.advance(DEADLINE / 2)
    planner.record_summary(summary("a", 5, {3: 1, 4: 2, 5: 3, 6: 3}))
    assert planner.maybe_propose() == 6


def test_release_staged_on_no_node_is_activated_at_the_deadline():
    clock = ManualClock()
    planner = planner_of(clock, 3, 4)
    clock.advance(DEADLINE)
    assert planner.maybe_propose() == 4


def test_lost_proposal_is_repeated_after_the_retry_interval():
    clock = ManualClock()
    planner = planner_of(clock, 3, controls=())
    assert planner.maybe_propose() == 3
    assert planner.maybe_propose() is None
    clock.advance(PROPOSAL_RETRY_SECONDS)
    assert planner.maybe_propose() == 3
    planner.record_accepted(4)
    assert planner.maybe_propose() == 4


def test_active_position_never_decreases():
    planner = planner_of(ManualClock())
    planner.record_activated(5)
    planner.record_accepted(5)
    assert planner.maybe_propose() is None
    with pytest.raises(InvariantViolation):
        planner.record_activated(4)


@pytest.mark.parametrize("seed", range(20))
def test_every_release_is_in_force_by_its_deadline(seed):
    """Bound the activation delay under random faults.

    Summaries and proposals are lost at random, and one instance is
    isolated for the second half.
    """
    rng = random.Random(seed)
    clock = ManualClock()
    controls = tuple("abcde")
    planner = planner_of(clock, controls=controls)
    accepted_at: dict[int, float] = {}
    latest, active = 0, 0
    for _ in range(2000):
        clock.advance(0.05)
        if rng.random() < 0.1:
            latest += 1
            accepted_at[latest] = clock.monotonic()
            planner.record_accepted(latest)
        # The last instance is isolated for the second half.
        reachable = controls if clock.monotonic() < 50 else controls[:-1]
        for control in reachable:
            if rng.random() < 0.3:
                held = {p: rng.randint(0, 3) for p in range(active, latest)}
                planner.record_summary(summary(control, 3, held, {active: 3}))
        chosen = planner.maybe_propose()
        if chosen is not None and rng.random() < 0.8:
            assert active < chosen <= latest
            active = chosen
            planner.record_activated(active)
        overdue = [p for p in accepted_at if p > active]
        slack = DEADLINE + 4 * PROPOSAL_RETRY_SECONDS + 0.1
        assert all(
            clock.monotonic() - accepted_at[p] <= slack for p in overdue
        )
    assert active > 100


def test_a_new_leader_waits_for_instances_it_has_not_heard():
    """Guard against an activation that most nodes have not staged.

    Before it led, it got few summaries, or none for a long time; an
    instance that it has not heard would count as unreachable.
    """
    clock = ManualClock()
    planner = planner_of(clock)
    planner.record_summary(summary("b", 3))
    clock.advance(60)
    planner.restart_wait()
    planner.record_accepted(3)
    planner.record_summary(summary("a", 1, {3: 1}))
    assert planner.maybe_propose() is None
    planner.record_summary(summary("b", 3, {3: 3}))
    assert planner.maybe_propose() == 3

"""Tests of the randomized simulation with fixed seeds."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from seeded_run import (
    DISK_OUTAGES,
    FAULTS,
    INITIAL,
    KILLS,
    LOST_DISKS,
    PLANNED_STOPS,
    POWER_CYCLES,
    SPARES,
    Run,
    run_seed,
)

from rhubarbhollow_replication.role import Role

STEPS = 12_000


@pytest.mark.parametrize("seed", range(1, 9))
def test_acknowledged_commands_are_kept_by_all_members(seed):
    """Check that no run loses an acknowledged command.

    The minimum counts ensure that a run was not idle.
    """
    report = run_seed(seed, STEPS)
    assert report.is_settled
    assert report.acknowledged > 100
    assert report.reads > 20
    assert report.fresh_claims > 1000


@pytest.mark.parametrize("seed", range(1, 5))
def test_one_lease_is_held_when_all_members_restart_at_once(seed):
    """Check that an election without waiting finds no live lease.

    The run asserts after each step that one member at most holds one.
    """
    report = run_seed(seed, STEPS, POWER_CYCLES)
    assert report.is_settled
    assert report.events["power_cycle"] > 10
    assert report.acknowledged > 100


@pytest.mark.parametrize("seed", range(1, 5))
def test_what_a_killed_process_wrote_survives_a_later_power_loss(seed):
    """Check that a restart trusts no write that is not durable."""
    report = run_seed(seed, STEPS, KILLS)
    assert report.is_settled
    assert report.events["kill_in_write"] > 10
    assert report.acknowledged > 100


@pytest.mark.parametrize("seed", range(1, 5))
def test_members_return_to_the_log_after_their_disks_failed(seed):
    """Check that a store reopened while running loses nothing."""
    report = run_seed(seed, STEPS, DISK_OUTAGES)
    assert report.is_settled
    assert report.events["store reopened"] > 5
    assert report.acknowledged > 100


@pytest.mark.parametrize("seed", range(1, 5))
def test_votes_of_members_that_stop_as_planned_are_handed_over(seed):
    """Check that a hand-over interrupted anywhere loses nothing."""
    report = run_seed(seed, STEPS, PLANNED_STOPS)
    assert report.is_settled
    assert report.events["planned stop"] > 10
    assert report.acknowledged > 100


@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize("faults", [LOST_DISKS, KILLS])
def test_a_log_that_founders_form_loses_nothing(seed, faults):
    """Check that a majority of recorded members forms one log.

    Their later starts form it by the record on their disks alone.
    """
    report = run_seed(seed, STEPS, faults, is_founded=True)
    assert report.is_settled
    assert report.acknowledged > 100
    assert report.events["disk lost"] > 0 or faults is KILLS


def test_runs_are_reproducible_and_inject_every_fault():
    """Check that a seed gives the same run, and that all faults occur.

    Without this, a failing seed could not be reproduced and a fault
    that never happens would go unnoticed.
    """
    reports = [run_seed(seed, STEPS // 2) for seed in (11, 12, 13)]
    assert run_seed(11, STEPS // 2) == reports[0]
    events = sum((report.events for report in reports), Counter())
    expected = {fault.__name__ for fault in FAULTS}
    expected |= {"disk lost", "corrupt", "store failed", "crash in write"}
    assert expected <= set(events)


class RunMachine(RuleBasedStateMachine):
    """Let hypothesis choose the faults and shrink failing runs."""

    def __init__(self):
        super().__init__()
        self.run = Run(seed=1, steps=0)
        self.advance(seconds=3)

    @rule(seconds=st.sampled_from((0.05, 0.3, 1.0)))
    def advance(self, seconds):
        end = self.run.time + seconds
        while self.run.time < end:
            self.run.step()

    @rule(count=st.integers(1, 5))
    def propose(self, count):
        for member in self.run.members.values():
            if member.is_awake and member.core.role is Role.LEADER:
                for _ in range(count):
                    member.propose(b"%d" % next(self.run.ids))

    @rule(
        fault=st.sampled_from(FAULTS),
        name=st.sampled_from(INITIAL + SPARES),
    )
    def fail(self, fault, name):
        fault(self.run, self.run.members[name])

    def teardown(self):
        self.run.settle()
        assert self.run.report.is_settled


RunMachine.TestCase.settings = settings(
    derandomize=True, max_examples=20, stateful_step_count=20, deadline=None
)
TestRunMachine = RunMachine.TestCase

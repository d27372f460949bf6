"""Guards the way of evidence and the decisions of the leader."""

from __future__ import annotations

from types import SimpleNamespace

import anyio
import pytest
from result import Err, Ok

from rhubarbhollow_daemon.release_machine import ReleaseMachine
from rhubarbhollow_daemon.rollout_coordinator import RolloutCoordinator
from rhubarbhollow_replication.fault import NotLeader
from rhubarbhollow_rollout.command import (
    ConcludeRollout,
    SetExposure,
    StartRollout,
    encode_rollout_command,
)
from rhubarbhollow_rollout.messages import RolloutEvidence, RolloutSummary
from rhubarbhollow_rollout.record import RolloutState
from rhubarbhollow_wire.clock import ManualClock

BAD = RolloutEvidence(1, "r", 900, 0, 0, 0, 90, 40, 0, 0)
GOOD = RolloutEvidence(1, "r", 900, 1, 0, 0, 90, 0, 0, 0)
TICK = 0.1


class Instance:
    """A control instance on a manual clock, with a log of its own."""

    def __init__(self, leader: str = "c1") -> None:
        self.clock = ManualClock()
        self.machine = ReleaseMachine("m", {})
        self.sent: list[tuple[str, RolloutSummary]] = []
        self.status = SimpleNamespace(
            is_leader=leader == "c1",
            is_fresh=True,
            leader=leader,
            confirmed_at=0.0,
        )
        self.fails = False
        links = SimpleNamespace(send=lambda *sent: self.sent.append(sent))
        self.coordinator = RolloutCoordinator(
            "c1", 5, self.machine, self, links, self.clock
        )

    async def propose(self, payload: bytes) -> object:
        if self.fails:
            return Err(NotLeader(None))
        return Ok(self.machine.apply(0, payload))

    def order(self, duration: float = 20.0, age: float = 0.0) -> None:
        utc_ms = round(1000 * (self.clock.utc().timestamp() - age))
        command = StartRollout("frame", "v2", round(1000 * duration), utc_ms)
        self.machine.apply(0, encode_rollout_command(command))

    def run(self, seconds: float) -> list[object]:
        done: list[object] = []
        for _ in range(round(seconds / TICK)):
            for command in self.coordinator.tick():
                done.append(command)
                anyio.run(self.coordinator.propose, command)
            self.clock.advance(TICK)
        return done

    @property
    def state(self) -> RolloutState:
        return self.machine.rollouts.records["frame"].state


def test_nothing_is_sent_or_decided_without_an_order() -> None:
    instance = Instance()
    instance.coordinator.record_evidence((BAD,))
    assert not instance.run(3)
    assert not instance.sent


def test_a_good_version_is_exposed_and_completed() -> None:
    instance = Instance()
    instance.run(0.2)
    instance.order()
    done = instance.run(5)
    shares = [command.share_permille for command in done]
    assert shares[0] == 30
    assert max(shares) == 90
    instance.coordinator.record_evidence((GOOD,))
    done = instance.run(15)
    assert instance.state is RolloutState.COMPLETED
    handover, end = done[-2:]
    assert isinstance(handover, SetExposure)
    assert handover.share_permille == 1000
    assert isinstance(end, ConcludeRollout)
    assert end.elapsed_ms < 20_000
    assert end.elapsed_ms - handover.elapsed_ms >= 1000


def test_a_bad_version_is_rolled_back() -> None:
    instance = Instance()
    instance.run(0.2)
    instance.order()
    instance.run(1)
    instance.coordinator.record_evidence((BAD,))
    instance.run(1)
    assert instance.state is RolloutState.ROLLED_BACK


def test_a_version_without_any_answer_is_rolled_back() -> None:
    """Nothing is known of it, and all calls would follow."""
    instance = Instance()
    instance.run(0.2)
    instance.order()
    instance.run(20)
    assert instance.state is RolloutState.ROLLED_BACK


def test_a_follower_passes_totals_on_to_each_new_leader() -> None:
    instance = Instance(leader="c2")
    instance.run(0.2)
    instance.order()
    instance.coordinator.record_evidence((GOOD,))
    instance.coordinator.record_evidence((GOOD,))
    assert not instance.run(0.5)
    leader, summary = instance.sent[-1]
    assert leader == "c2"
    assert summary.incarnation == 5
    assert summary.evidence[0].stable_calls == 1800
    count = len(instance.sent)
    instance.run(1.2)
    # An unchanged summary is repeated each second only.
    assert len(instance.sent) <= count + 2
    instance.status.leader = "c3"
    instance.run(0.1)
    assert instance.sent[-1] == ("c3", summary)


def test_a_new_leader_uses_what_arrived_before_it_knew() -> None:
    instance = Instance(leader="c2")
    instance.run(0.2)
    instance.order()
    instance.run(0.2)
    instance.coordinator.record_summary(RolloutSummary("c2", 1, (BAD,)))
    instance.status.leader = "c1"
    instance.status.is_leader = True
    instance.run(1)
    assert instance.state is RolloutState.ROLLED_BACK


def test_a_leader_that_is_not_fresh_decides_nothing() -> None:
    instance = Instance()
    instance.run(0.2)
    instance.order()
    instance.status.is_fresh = False
    instance.coordinator.record_evidence((BAD,))
    assert not instance.run(2)


def test_a_command_that_failed_is_proposed_again() -> None:
    instance = Instance()
    instance.run(0.2)
    instance.order()
    instance.fails = True
    assert len(instance.run(0.5)) == 5
    instance.fails = False
    instance.run(0.2)
    assert instance.machine.rollouts.records["frame"].share_permille == 30


@pytest.mark.parametrize("was_up_to_date", [True, False])
def test_the_age_of_an_order_after_a_restart(was_up_to_date: bool) -> None:
    """The deadline counts from the order, not from the restart."""
    instance = Instance()
    if was_up_to_date:
        # The clock of the instance with the order is 15 s behind.
        instance.run(0.2)
    instance.order(duration=20, age=15)
    instance.run(1)
    instance.coordinator.record_evidence((GOOD,))
    instance.run(3)
    is_done = instance.state is RolloutState.COMPLETED
    assert is_done is not was_up_to_date


def test_the_age_in_the_log_counts_whatever_the_clocks_say() -> None:
    instance = Instance()
    instance.order(duration=20, age=-100)
    exposure = SetExposure("frame", 1, 90, 3, 17_000)
    instance.machine.apply(0, encode_rollout_command(exposure))
    instance.run(0.2)
    instance.coordinator.record_evidence((GOOD,))
    instance.run(2)
    assert instance.state is RolloutState.COMPLETED

"""Guards against orders that get different answers, or none in time."""

from __future__ import annotations

from types import SimpleNamespace

import anyio
from result import Err, Ok

from rhubarbhollow_daemon.document_outcome import DocumentVerdict
from rhubarbhollow_daemon.log_group import LogGroup
from rhubarbhollow_daemon.messages import ProposeAnswer, ProposeRequest
from rhubarbhollow_daemon.release_log import ReleaseLog
from rhubarbhollow_daemon.release_machine import ReleaseMachine
from rhubarbhollow_daemon.rollout_orders import RolloutOrders
from rhubarbhollow_daemon.submission_kind import SubmissionKind
from rhubarbhollow_replication.fault import NotLeader, OutcomeUnknown
from rhubarbhollow_replication.role import Role
from rhubarbhollow_rollout.command import (
    ConcludeRollout,
    encode_rollout_command,
)
from rhubarbhollow_rollout.record import RolloutState
from rhubarbhollow_wire.clock import SystemClock


class Log:
    """Apply each command at once, like a log with a single member."""

    def __init__(self, role: Role = Role.LEADER) -> None:
        self.machine = ReleaseMachine("m", {})
        self.is_up = True
        self.loses_answers = 0
        self.status = SimpleNamespace(
            role=role, leader="c1", commit_index=0, applied_index=0
        )

    async def propose(self, payload: bytes) -> object:
        if not self.is_up:
            return Err(NotLeader(None))
        outcome = self.machine.apply(1, payload)
        if self.loses_answers:
            self.loses_answers -= 1
            return Err(OutcomeUnknown())
        return Ok(outcome)

    async def confirm_leadership(self) -> bool:
        return self.is_up

    def on_applied(self, callback: object) -> None:
        pass


class Links:
    incarnation = 1

    def __init__(self) -> None:
        self.by_name = {"c1": SimpleNamespace(is_up=True)}
        self.sent: list[object] = []

    def send(self, to: str, message: object) -> None:
        self.sent.append(message)


def make_orders(log: Log) -> RolloutOrders:
    release_log = ReleaseLog(log, log.machine, Links())
    return RolloutOrders(release_log, log.machine, SystemClock())


def test_an_order_whose_answer_was_lost_is_answered_once() -> None:
    log = Log()
    log.loses_answers = 2
    orders = make_orders(log)
    outcome = anyio.run(orders.order, "frame", "v2", 10_000)
    assert outcome.verdict is DocumentVerdict.ACCEPTED
    assert log.machine.rollouts.records["frame"].number == 1
    again = anyio.run(orders.order, "frame", "v2", 10_000)
    assert again == outcome
    end = ConcludeRollout("frame", 1, RolloutState.COMPLETED, 9)
    log.machine.apply(2, encode_rollout_command(end))
    assert anyio.run(orders.order, "frame", "v2", 10_000) == outcome
    record = anyio.run(orders.read, "frame").ok_value
    assert record.state is RolloutState.COMPLETED


def test_another_order_meanwhile_is_a_conflict() -> None:
    orders = make_orders(Log())
    anyio.run(orders.order, "frame", "v2", 10_000)
    outcome = anyio.run(orders.order, "frame", "v3", 10_000)
    assert outcome.verdict is DocumentVerdict.CONFLICT


def test_without_a_quorum_nothing_is_claimed() -> None:
    log = Log()
    log.is_up = False
    orders = make_orders(log)
    outcome = anyio.run(orders.order, "frame", "v2", 10_000)
    assert outcome.verdict is DocumentVerdict.UNAVAILABLE
    assert isinstance(anyio.run(orders.read, "frame"), Err)


def test_only_orders_are_relayed_to_the_leader() -> None:
    """A verdict is the leader's own and is not taken from a peer."""
    log = Log()
    links = Links()
    release_log = ReleaseLog(log, log.machine, links)
    end = ConcludeRollout("frame", 1, RolloutState.COMPLETED, 9)
    for payload in (encode_rollout_command(end), b"Rx"):
        request = ProposeRequest(
            1, LogGroup.RELEASES, payload, SubmissionKind.COMMAND
        )
        anyio.run(release_log.serve, "c2", request)
        answer = links.sent.pop()
        assert isinstance(answer, ProposeAnswer)
        assert answer.status == DocumentVerdict.INVALID
    assert not log.machine.rollouts.revision

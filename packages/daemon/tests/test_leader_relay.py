import json
from types import SimpleNamespace

import anyio
import pytest

from rhubarbhollow_daemon import leader_relay
from rhubarbhollow_daemon.http_response import HttpResponse, answer_problem
from rhubarbhollow_daemon.leader_relay import (
    MAX_SUBMISSION_BYTES,
    LeaderRelay,
)
from rhubarbhollow_daemon.messages import ProposeAnswer, ProposeRequest
from rhubarbhollow_replication.role import Role
from rhubarbhollow_wire.clock import ManualClock

OK = HttpResponse(200, b'{"outcome":"accepted"}')


class Peers:
    """Simulate the leader as a script says, one step per attempt.

    ``lost`` is a lost answer, ``down`` a broken link and ``none`` no
    known leader; ``own`` makes this instance the leader; a response is
    that of a leader elsewhere.
    """

    incarnation = 1

    def __init__(self, script, own=OK):
        self.clock = ManualClock()
        self._script = iter(script)
        self._own = own
        self.sent = []
        self.relay = LeaderRelay("c1", self, self, self, self.clock)

    @property
    def status(self):
        self.clock.advance(1.0)
        self.step = next(self._script, "none")
        if self.step == "own":
            return SimpleNamespace(role=Role.LEADER, leader="c1")
        leader = None if self.step == "none" else "c2"
        return SimpleNamespace(role=Role.FOLLOWER, leader=leader)

    @property
    def by_name(self):
        link = SimpleNamespace(is_up=self.step != "down")
        return {"c2": link}

    def send(self, control, message):
        if isinstance(message, ProposeRequest):
            self._answer(message)
        else:
            self.sent.append((control, message))

    async def submit(self, request):
        if isinstance(self._own, HttpResponse):
            return self._own
        if self._own is None:
            await anyio.sleep_forever()
        raise self._own

    def _answer(self, request):
        self.sent.append(request)
        if self.step == "lost":
            return
        self.relay.deliver_answer(
            ProposeAnswer(
                request.request_id, self.step.status, self.step.body, "c2"
            )
        )


def problem(kind, status):
    return answer_problem(kind, status, "")


@pytest.mark.parametrize(
    ("script", "status", "kind", "sent"),
    [
        ([OK], 200, None, 1),
        (["own"], 200, None, 0),
        (["lost", OK], 200, None, 2),
        (["none", "down", OK], 200, None, 1),
        ([problem("no_leader", 503), "own"], 200, None, 1),
        (["lost", problem("stale_version", 409)], 409, "stale_version", 2),
        ([], 503, "no_leader", 0),
        (["down"] * 9, 503, "no_leader", 0),
        ([problem("overloaded", 503)] * 9, 503, "overloaded", 8),
        (["lost"], 504, "outcome_unknown", 1),
        (["lost", problem("overloaded", 503)], 504, "outcome_unknown", 2),
        ([problem("outcome_unknown", 504)], 504, "outcome_unknown", 1),
    ],
)
def test_outcome_is_unknown_only_if_a_request_may_have_arrived(
    monkeypatch, script, status, kind, sent
):
    """Requests, answers and leaders are lost between attempts.

    "Nothing was accepted" may be reported only if no request can
    have reached a leader.
    """
    monkeypatch.setattr(leader_relay, "ANSWER_TIMEOUT_SECONDS", 0)
    monkeypatch.setattr(leader_relay, "RETRY_SECONDS", 0)
    peers = Peers(script)
    answer = anyio.run(peers.relay.submit, b"{}")
    found = json.loads(answer.body).get("type", "").rpartition(":")[2]
    assert (answer.status, found or None) == (status, kind)
    assert len(peers.sent) == sent
    assert len({request.request_id for request in peers.sent}) == sent


def test_late_answer_is_ignored(monkeypatch):
    monkeypatch.setattr(leader_relay, "RETRY_SECONDS", 0)
    peers = Peers([])
    peers.relay.deliver_answer(ProposeAnswer(7, 200, b"", "c2"))
    assert anyio.run(peers.relay.submit, b"{}").status == 503


@pytest.mark.parametrize("step", ["own", OK])
def test_body_larger_than_a_frame_is_refused_by_every_instance(step):
    """The leader would close the link on such a frame."""
    peers = Peers([step])
    body = bytes(MAX_SUBMISSION_BYTES + 1)
    answer = anyio.run(peers.relay.submit, body)
    assert answer.status == 413
    assert b"release_too_large" in answer.body
    assert peers.sent == []


def test_exception_in_a_relayed_submission_is_contained():
    """An exception in the handler would end the leader's process.

    The sender would retry and so end that of the next leader, too.
    """
    peers = Peers([], own=RecursionError())

    async def run():
        async with anyio.create_task_group() as group:
            request = ProposeRequest(7, 0, b"{}", 1)
            group.start_soon(peers.relay.serve, "c2", request)

    anyio.run(run)
    ((control, answer),) = peers.sent
    assert (control, answer.request_id, answer.status) == ("c2", 7, 500)
    assert b"internal_error" in answer.outcome


@pytest.mark.parametrize("is_relayed", [False, True])
def test_stalled_log_yields_an_unknown_outcome(monkeypatch, is_relayed):
    """A proposal that is never committed must time out with a 504.

    A submission without a deadline of its own would wait for ever.
    """
    monkeypatch.setattr(leader_relay, "SUBMIT_DEADLINE_SECONDS", 0.001)
    monkeypatch.setattr(leader_relay, "RETRY_SECONDS", 0)
    peers = Peers(["own"], own=None)
    request = ProposeRequest(7, 0, b"{}", 1)
    answers = []

    async def run():
        # Fail, rather than hang, if the submission never returns.
        with anyio.move_on_after(5):
            if is_relayed:
                await peers.relay.serve("c2", request)
                answers.extend(answer.status for _, answer in peers.sent)
            else:
                answers.append((await peers.relay.submit(b"{}")).status)

    anyio.run(run)
    assert answers == [504]

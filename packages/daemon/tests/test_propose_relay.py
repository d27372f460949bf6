from random import Random

import anyio
import pytest

from rhubarbhollow_daemon.log_group import LogGroup
from rhubarbhollow_daemon.messages import PeerHello, ProposeAnswer
from rhubarbhollow_daemon.peer_links import PeerLinks
from rhubarbhollow_daemon.propose_relay import ProposeRelay
from rhubarbhollow_distribution.control_directory import ControlDirectory
from rhubarbhollow_wire.traffic import Traffic


class Leader:
    """Record the requests; the test decides when they are answered."""

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.requests = []
        self.relay = ProposeRelay(self, LogGroup.CLAIMS, 2)

    def send(self, leader, request):
        self.requests.append(request)

    async def ask(self, answers):
        outcomes = {}

        async def ask(payload):
            outcomes[payload] = await self.relay.ask("c2", payload, 5)

        async with anyio.create_task_group() as group:
            for payload in (b"a", b"b"):
                group.start_soon(ask, payload)
            await anyio.wait_all_tasks_blocked()
            for answer in answers(self.requests):
                self.relay.deliver(answer)
                self.relay.deliver(answer)
                # The answered command resumes before the next answer.
                await anyio.wait_all_tasks_blocked()
        return {key: value.outcome for key, value in outcomes.items()}


def build_answer(request, outcome=None):
    outcome = request.payload if outcome is None else outcome
    return ProposeAnswer(request.request_id, 200, outcome, "c2")


@pytest.mark.parametrize("step", [1, -1])
def test_answers_out_of_order_reach_their_own_commands(step):
    leader = Leader(1)
    answered = anyio.run(
        leader.ask, lambda requests: map(build_answer, requests[::step])
    )
    assert answered == {b"a": b"a", b"b": b"b"}


@pytest.mark.parametrize("incarnation", [2, 1_800_000_000_000])
def test_answer_to_an_earlier_incarnation_is_ignored(incarnation):
    """A late answer to the process before a restart must match nothing.

    That would happen if the restarted process used the same request
    ids again. The ids must also fit a signed 64-bit integer.
    """
    before, after = Leader(incarnation - 1), Leader(incarnation)
    anyio.run(before.ask, lambda requests: map(build_answer, requests))
    late = [build_answer(request, b"late") for request in before.requests]
    answered = anyio.run(
        after.ask, lambda requests: [*late, *map(build_answer, requests)]
    )
    assert answered == {b"a": b"a", b"b": b"b"}
    assert all(one.request_id < 2**63 for one in after.requests)


def test_peer_links_return_the_incarnation_of_the_hello():
    hello = PeerHello("m", "c1", 7, 1)
    links = PeerLinks(hello, ControlDirectory(), Traffic(), Random(1))
    assert links.incarnation == 7

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
    """Note what it is asked; answers come when the test wants."""

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.asked = []
        self.relay = ProposeRelay(self, LogGroup.CLAIMS, 2)

    def send(self, leader, request):
        self.asked.append(request)

    async def ask(self, answers):
        outcomes = {}

        async def ask(payload):
            outcomes[payload] = await self.relay.ask("c2", payload, 5)

        async with anyio.create_task_group() as group:
            for payload in (b"a", b"b"):
                group.start_soon(ask, payload)
            await anyio.wait_all_tasks_blocked()
            for answer in answers(self.asked):
                self.relay.take(answer)
                self.relay.take(answer)
                # whoever was answered goes on before the next answer
                await anyio.wait_all_tasks_blocked()
        return {key: value.outcome for key, value in outcomes.items()}


def answer_of(request, outcome=None):
    outcome = request.payload if outcome is None else outcome
    return ProposeAnswer(request.request_id, 200, outcome, "c2")


@pytest.mark.parametrize("step", [1, -1])
def test_crossed_answers_reach_their_own_commands(step):
    leader = Leader(1)
    answered = anyio.run(
        leader.ask, lambda asked: map(answer_of, asked[::step])
    )
    assert answered == {b"a": b"a", b"b": b"b"}


@pytest.mark.parametrize("incarnation", [2, 1_800_000_000_000])
def test_an_answer_to_an_earlier_process_answers_nothing(incarnation):
    before, after = Leader(incarnation - 1), Leader(incarnation)
    anyio.run(before.ask, lambda asked: map(answer_of, asked))
    late = [answer_of(request, b"late") for request in before.asked]
    answered = anyio.run(
        after.ask, lambda asked: [*late, *map(answer_of, asked)]
    )
    assert answered == {b"a": b"a", b"b": b"b"}
    assert all(one.request_id < 2**63 for one in after.asked)


def test_the_links_know_the_incarnation():
    hello = PeerHello("m", "c1", 7, 1)
    links = PeerLinks(hello, ControlDirectory(), Traffic(), Random(1))
    assert links.incarnation == 7

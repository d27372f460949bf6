from types import SimpleNamespace

import anyio
import anyio.lowlevel
import pytest

from rhubarbhollow_calls.quarantine_message import CrashReport
from rhubarbhollow_daemon.log_group import LogGroup
from rhubarbhollow_daemon.messages import (
    BurnAnswer,
    BurnRequest,
    EndpointsRequest,
    NodesAnswer,
    NodesRequest,
    PeerHello,
    ProposeAnswer,
    ProposeRequest,
)
from rhubarbhollow_daemon.peer_dispatch import PeerDispatch
from rhubarbhollow_replication.vote import VoteReply

VOTE = object.__new__(VoteReply)
PROPOSE = ProposeRequest(1, 0, b"", 1)
ANSWER = ProposeAnswer(1, 200, b"", "c2")
CRASH = CrashReport(b"f", "n1/bench", 1, 0.0)


class Part:
    """Note which method of which part gets what."""

    def __init__(self, name, told):
        self._name = name
        self._told = told

    def own_nodes(self):
        return ()

    def __getattr__(self, method):
        def note(*arguments):
            self._told.append((f"{self._name}.{method}", arguments[-1]))
            return anyio.lowlevel.checkpoint()

        return note


@pytest.mark.parametrize(
    ("group", "message", "told"),
    [
        (LogGroup.RELEASES, VOTE, "releases.receive"),
        (LogGroup.CLAIMS, VOTE, "claims.receive"),
        (LogGroup.RELEASES, PROPOSE, "relay.serve"),
        (LogGroup.CLAIMS, PROPOSE, "desk.serve_peer"),
        (LogGroup.RELEASES, ANSWER, "relay.take_answer"),
        (LogGroup.CLAIMS, ANSWER, "desk.take_answer"),
        (LogGroup.RELEASES, BurnRequest(1), "burn.serve"),
        (LogGroup.RELEASES, BurnAnswer(1, ()), "burn.take_from_peer"),
        (LogGroup.RELEASES, NodesAnswer(1, ()), "fleet.take"),
        (LogGroup.RELEASES, NodesRequest(1), "links.send"),
        (LogGroup.RELEASES, EndpointsRequest("c2"), "instance.serve_peer"),
        (LogGroup.RELEASES, CRASH, "instance.serve_peer"),
        (LogGroup.CLAIMS, EndpointsRequest("c2"), None),
        (LogGroup.CLAIMS, CRASH, None),
    ],
)
def test_each_message_reaches_its_own_log_and_task(group, message, told):
    notes = []
    parts = SimpleNamespace(
        replica=Part("releases", notes),
        links=Part("links", notes),
        claims=SimpleNamespace(
            replica=Part("claims", notes), desk=Part("desk", notes)
        ),
    )
    others = (Part(name, notes) for name in ("instance", "relay"))

    async def run():
        async with anyio.create_task_group() as tasks:
            dispatch = PeerDispatch(
                parts,
                *others,
                Part("fleet", notes),
                Part("burn", notes),
                tasks,
            )
            dispatch.take(PeerHello("m", "c2", 1, group), message)

    anyio.run(run)
    assert [name for name, _ in notes] == ([told] if told else [])
    if told not in (None, "links.send"):
        assert notes[0][1] is message

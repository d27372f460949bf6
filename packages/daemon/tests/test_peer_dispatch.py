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
from rhubarbhollow_daemon.peer_dispatch import PeerDispatcher
from rhubarbhollow_replication.vote import VoteReply

VOTE = object.__new__(VoteReply)
PROPOSE = ProposeRequest(1, 0, b"", 1)
ANSWER = ProposeAnswer(1, 200, b"", "c2")
CRASH = CrashReport(b"f", "n1/bench", 1, 0.0)


class Component:
    """Record which method of which component gets which message."""

    def __init__(self, name, calls):
        self._name = name
        self._calls = calls

    def own_nodes(self):
        return ()

    def __getattr__(self, method):
        def record(*arguments):
            self._calls.append((f"{self._name}.{method}", arguments[-1]))
            return anyio.lowlevel.checkpoint()

        return record


@pytest.mark.parametrize(
    ("group", "message", "expected"),
    [
        (LogGroup.RELEASES, VOTE, "releases.receive"),
        (LogGroup.CLAIMS, VOTE, "claims.receive"),
        (LogGroup.RELEASES, PROPOSE, "relay.serve"),
        (LogGroup.CLAIMS, PROPOSE, "service.serve_peer"),
        (LogGroup.RELEASES, ANSWER, "relay.deliver_answer"),
        (LogGroup.CLAIMS, ANSWER, "service.deliver_answer"),
        (LogGroup.RELEASES, BurnRequest(1), "burn.serve"),
        (LogGroup.RELEASES, BurnAnswer(1, ()), "burn.deliver_from_peer"),
        (LogGroup.RELEASES, NodesAnswer(1, ()), "fleet.deliver"),
        (LogGroup.RELEASES, NodesRequest(1), "links.send"),
        (LogGroup.RELEASES, EndpointsRequest("c2"), "instance.serve_peer"),
        (LogGroup.RELEASES, CRASH, "instance.serve_peer"),
        (LogGroup.CLAIMS, EndpointsRequest("c2"), None),
        (LogGroup.CLAIMS, CRASH, None),
    ],
)
def test_each_message_reaches_its_own_log_and_handler(
    group, message, expected
):
    calls = []
    parts = SimpleNamespace(
        replica=Component("releases", calls),
        links=Component("links", calls),
        claims=SimpleNamespace(
            replica=Component("claims", calls),
            service=Component("service", calls),
        ),
    )
    components = (Component(name, calls) for name in ("instance", "relay"))

    async def run():
        async with anyio.create_task_group() as tasks:
            dispatcher = PeerDispatcher(
                parts,
                *components,
                Component("fleet", calls),
                Component("burn", calls),
                tasks,
            )
            dispatcher.dispatch(PeerHello("m", "c2", 1, group), message)

    anyio.run(run)
    assert [name for name, _ in calls] == ([expected] if expected else [])
    if expected not in (None, "links.send"):
        assert calls[0][1] is message

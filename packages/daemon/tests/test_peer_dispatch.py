from types import SimpleNamespace

import anyio
import anyio.lowlevel
import pytest
from structlog.testing import capture_logs

from rhubarbhollow_calls.quarantine_message import CrashReport
from rhubarbhollow_daemon.log_group import LogGroup
from rhubarbhollow_daemon.messages import (
    NodesAnswer,
    NodesRequest,
    PeerHello,
    ProposeAnswer,
    ProposeRequest,
)
from rhubarbhollow_daemon.node_messages import (
    BurnAnswer,
    BurnRequest,
    EndpointsRequest,
)
from rhubarbhollow_daemon.peer_dispatch import PeerDispatcher
from rhubarbhollow_distribution.control_address import ControlAddress
from rhubarbhollow_distribution.control_directory import ControlDirectory
from rhubarbhollow_distribution.control_list import ControlList
from rhubarbhollow_replication.chunk import SnapshotChunk
from rhubarbhollow_replication.vote import VoteReply

VOTE = VoteReply(1, "c2", False, False, "s")
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
        directory=SimpleNamespace(names={"c1", "c2"}),
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


@pytest.mark.parametrize(
    ("control", "sender"), [("c2", "c1"), ("c9", "c9"), ("c9", "c2")]
)
@pytest.mark.parametrize("group", [LogGroup.RELEASES, LogGroup.CLAIMS])
def test_a_log_gets_no_message_in_another_members_name(group, control, sender):
    """Guard against a process that ends by a message of a stranger.

    An append that named a second leader of the term broke an invariant.
    """
    calls = []
    parts = SimpleNamespace(
        directory=SimpleNamespace(names={"c1", "c2"}),
        replica=Component("releases", calls),
        claims=SimpleNamespace(replica=Component("claims", calls)),
    )
    others = (Component("other", calls) for _ in range(4))
    dispatcher = PeerDispatcher(parts, *others, None)
    hello = PeerHello("m", control, 1, group)
    chunk = SnapshotChunk(3, sender, 1, 1, 0, b"", False, 1, "s")
    with capture_logs() as lines:
        dispatcher.dispatch(hello, chunk)
    assert calls == []
    assert [line["event"] for line in lines] == ["peer_message_refused"]


def test_addresses_that_cannot_be_used_are_left_out():
    directory = ControlDirectory()
    parts = SimpleNamespace(directory=directory)
    dispatcher = PeerDispatcher(parts, *(None,) * 5)
    addresses = (
        ControlAddress("c1", "ilala", "10.0.0.1", 7103),
        ControlAddress("c2", "ilala", "", 7103),
        ControlAddress("", "ilala", "10.0.0.2", 7103),
        ControlAddress("c4", "ilala", "10.0.0.4", -1),
        ControlAddress("c5", "ilala", "10.0.0.5", 65_536),
        ControlAddress("c6", "ilala", "::1", 7103),
    )
    with capture_logs() as lines:
        dispatcher.dispatch(
            PeerHello("m", "c1", 1, LogGroup.RELEASES), ControlList(addresses)
        )
    assert directory.names == {"c1", "c6"}
    assert lines[0]["count"] == 4

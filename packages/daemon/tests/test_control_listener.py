import errno
from random import Random

import anyio
import pytest
from fake_stream import join_streams

from rhubarbhollow_daemon import control_listener
from rhubarbhollow_daemon.codec import CODEC
from rhubarbhollow_daemon.control_listener import ControlListener
from rhubarbhollow_daemon.messages import PeerHello
from rhubarbhollow_daemon.node_messages import EndpointsRequest
from rhubarbhollow_distribution.hello import Hello
from rhubarbhollow_wire.connection import PREFACE, FrameConnection
from rhubarbhollow_wire.traffic import Traffic

NODE = Hello("m", "n1", "ilala", 7, 0, b"", 0, "", 0)
PEER = PeerHello("m", "c2", 1, 0)
MESSAGE = EndpointsRequest("c2")


class ListenerHarness:
    """Run a control listener on in-memory connections."""

    def __init__(self, failed_accepts=0):
        self.failed_accepts = failed_accepts
        self.nodes, self.peers = [], []
        self.listener = ControlListener(
            "m", Traffic(), Traffic(), self.serve_node, self.serve_peer
        )
        self._to_accept, self._accepted = anyio.create_memory_object_stream(9)

    async def serve(self, handler, task_group):
        while True:
            if self.failed_accepts:
                self.failed_accepts -= 1
                raise OSError(errno.EMFILE, "too many open files")
            stream = await self._accepted.receive()
            task_group.start_soon(handler, stream)

    async def serve_node(self, connection, hello):
        self.nodes.append(hello)
        received = await connection.receive()
        received.unwrap()

    def serve_peer(self, hello, message):
        self.peers.append((hello.incarnation, message))
        if message == EndpointsRequest("fails"):
            raise ValueError(message)

    async def connect(self, first=b"", *messages):
        here, there = join_streams()
        await self._to_accept.send(there)
        connection = FrameConnection(here, CODEC, Traffic())
        if isinstance(first, bytes):
            await here.send(first)
        else:
            (await connection.open()).unwrap()
            await connection.send(first, *messages)
        await anyio.wait_all_tasks_blocked()
        return connection


def run(scenario, **options):
    async def main():
        harness = ListenerHarness(**options)
        async with anyio.create_task_group() as group:
            group.start_soon(harness.listener.run, harness)
            await scenario(harness)
            group.cancel_scope.cancel()

    anyio.run(main)


async def is_closed(connection):
    with anyio.move_on_after(1):
        while (await connection.receive()).is_ok():
            pass
        return True
    return False


def test_invalid_connections_do_not_affect_the_others():
    """Peers of another mesh, other protocols and noise are closed.

    So is a peer whose message raises in its handler; the valid node
    and peer must stay connected.
    """
    noise = Random(1)

    async def scenario(harness):
        node = await harness.connect(NODE)
        peer = await harness.connect(PEER, MESSAGE)
        invalid = [
            await harness.connect(first)
            for first in (
                Hello("other", "n2", "ilala", 7, 0, b"", 0, "", 0),
                PeerHello("other", "c3", 1, 0),
                MESSAGE,
                b"GET / HTTP/1.1\r\n\r\n",
                PREFACE + b"\xff" * 64,
                *(PREFACE + noise.randbytes(64) for _ in range(20)),
            )
        ]
        invalid.append(
            await harness.connect(
                PeerHello("m", "c4", 1, 0), EndpointsRequest("fails")
            )
        )
        for connection in invalid:
            # Random bytes may announce a frame that is never sent.
            connection._stream.send_stream.close()
            assert await is_closed(connection)
        await peer.send(MESSAGE)
        await anyio.wait_all_tasks_blocked()
        assert harness.peers.count((1, MESSAGE)) == 2
        assert harness.nodes == [NODE]
        await node.close()

    run(scenario)


def test_connection_without_a_hello_is_closed(monkeypatch):
    monkeypatch.setattr(control_listener, "HELLO_TIMEOUT_SECONDS", 0)

    async def scenario(harness):
        assert await is_closed(await harness.connect())

    run(scenario)


def test_connections_above_the_limit_are_closed(monkeypatch):
    monkeypatch.setattr(control_listener, "MAX_CONNECTIONS", 1)

    async def scenario(harness):
        first = await harness.connect(NODE)
        assert await is_closed(await harness.connect(b"x"))
        await first.close()
        await anyio.wait_all_tasks_blocked()
        await harness.connect(NODE)
        assert harness.nodes == [NODE, NODE]

    run(scenario)


def test_failed_accept_ends_no_connection(monkeypatch):
    """``accept`` fails with ``EMFILE`` while too many files are open.

    Open connections must survive, and new ones be accepted later.
    """
    monkeypatch.setattr(control_listener, "ACCEPT_RETRY_SECONDS", 0)

    async def scenario(harness):
        peer = await harness.connect(PEER)
        harness.failed_accepts = 2
        node = await harness.connect(NODE)
        await anyio.wait_all_tasks_blocked()
        await peer.send(MESSAGE)
        await harness.connect(NODE)
        assert harness.nodes == [NODE, NODE]
        assert harness.peers == [(1, MESSAGE)]
        await node.close()

    run(scenario)


@pytest.mark.parametrize(
    ("group", "received"),
    [(0, [(2, MESSAGE)]), (1, [(1, MESSAGE), (2, MESSAGE)])],
)
def test_replaced_peer_connection_is_no_longer_read(group, received):
    """A peer reconnects while its old connection still has messages.

    They are older than those on the new connection and must be
    ignored, but only within the same log.
    """

    async def scenario(harness):
        old = await harness.connect(PEER)
        new = await harness.connect(PeerHello("m", "c2", 2, group))
        await old.send(MESSAGE)
        await anyio.wait_all_tasks_blocked()
        await new.send(MESSAGE)
        await anyio.wait_all_tasks_blocked()
        assert harness.peers == received

    run(scenario)

import errno
from random import Random

import anyio
import pytest
from fake_stream import join_streams

from rhubarbhollow_daemon import control_listener
from rhubarbhollow_daemon.codec import CODEC
from rhubarbhollow_daemon.control_listener import ControlListener
from rhubarbhollow_daemon.messages import EndpointsRequest, PeerHello
from rhubarbhollow_distribution.hello import Hello
from rhubarbhollow_wire.connection import PREFACE, FrameConnection
from rhubarbhollow_wire.traffic import Traffic

NODE = Hello("m", "n1", "ilala", 7, 0, b"", 0, "", 0)
PEER = PeerHello("m", "c2", 1, 0)
NEWS = EndpointsRequest("c2")


class Listeners:
    """Hand connections to the listener under test."""

    def __init__(self, refusals=0):
        self.refusals = refusals
        self.nodes, self.peers = [], []
        self.listener = ControlListener(
            "m", Traffic(), Traffic(), self.serve_node, self.serve_peer
        )
        self._to_accept, self._accepted = anyio.create_memory_object_stream(9)

    async def serve(self, handler, task_group):
        while True:
            if self.refusals:
                self.refusals -= 1
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
        listeners = Listeners(**options)
        async with anyio.create_task_group() as group:
            group.start_soon(listeners.listener.run, listeners)
            await scenario(listeners)
            group.cancel_scope.cancel()

    anyio.run(main)


async def is_closed(connection):
    with anyio.move_on_after(1):
        while (await connection.receive()).is_ok():
            pass
        return True
    return False


def test_no_stranger_disturbs_the_others():
    noise = Random(1)

    async def scenario(listeners):
        node = await listeners.connect(NODE)
        peer = await listeners.connect(PEER, NEWS)
        strangers = [
            await listeners.connect(first)
            for first in (
                Hello("other", "n2", "ilala", 7, 0, b"", 0, "", 0),
                PeerHello("other", "c3", 1, 0),
                NEWS,
                b"GET / HTTP/1.1\r\n\r\n",
                PREFACE + b"\xff" * 64,
                *(PREFACE + noise.randbytes(64) for _ in range(20)),
            )
        ]
        strangers.append(
            await listeners.connect(
                PeerHello("m", "c4", 1, 0), EndpointsRequest("fails")
            )
        )
        for stranger in strangers:
            # random bytes may announce a frame that never comes
            stranger._stream.send_stream.close()
            assert await is_closed(stranger)
        await peer.send(NEWS)
        await anyio.wait_all_tasks_blocked()
        assert listeners.peers.count((1, NEWS)) == 2
        assert listeners.nodes == [NODE]
        await node.close()

    run(scenario)


def test_a_silent_stranger_is_closed(monkeypatch):
    monkeypatch.setattr(control_listener, "HELLO_TIMEOUT_SECONDS", 0)

    async def scenario(listeners):
        assert await is_closed(await listeners.connect())

    run(scenario)


def test_connections_above_the_limit_are_closed(monkeypatch):
    monkeypatch.setattr(control_listener, "MAX_CONNECTIONS", 1)

    async def scenario(listeners):
        first = await listeners.connect(NODE)
        assert await is_closed(await listeners.connect(b"x"))
        await first.close()
        await anyio.wait_all_tasks_blocked()
        await listeners.connect(NODE)
        assert listeners.nodes == [NODE, NODE]

    run(scenario)


def test_a_full_table_of_open_files_ends_no_connection(monkeypatch):
    monkeypatch.setattr(control_listener, "ACCEPT_RETRY_SECONDS", 0)

    async def scenario(listeners):
        peer = await listeners.connect(PEER)
        listeners.refusals = 2
        node = await listeners.connect(NODE)
        await anyio.wait_all_tasks_blocked()
        await peer.send(NEWS)
        await listeners.connect(NODE)
        assert listeners.nodes == [NODE, NODE]
        assert listeners.peers == [(1, NEWS)]
        await node.close()

    run(scenario)


@pytest.mark.parametrize(
    ("group", "heard"), [(0, [(2, NEWS)]), (1, [(1, NEWS), (2, NEWS)])]
)
def test_a_replaced_connection_of_a_peer_is_heard_no_more(group, heard):
    async def scenario(listeners):
        old = await listeners.connect(PEER)
        new = await listeners.connect(PeerHello("m", "c2", 2, group))
        await old.send(NEWS)
        await anyio.wait_all_tasks_blocked()
        await new.send(NEWS)
        await anyio.wait_all_tasks_blocked()
        assert listeners.peers == heard

    run(scenario)

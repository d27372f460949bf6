from random import Random

import anyio
import pytest
from fake_stream import join_streams
from structlog.testing import capture_logs

from rhubarbhollow_daemon import peer_link
from rhubarbhollow_daemon.codec import CODEC
from rhubarbhollow_daemon.messages import PeerHello
from rhubarbhollow_daemon.node_messages import EndpointsRequest
from rhubarbhollow_daemon.peer_link import PeerLink
from rhubarbhollow_distribution.control_address import ControlAddress
from rhubarbhollow_wire.connection import FrameConnection
from rhubarbhollow_wire.traffic import Traffic

HELLO = PeerHello("m", "c1", 1, 0)
ADDRESS = ControlAddress("c2", "temeke", "h", 1)
OLD, NEW = EndpointsRequest("old"), EndpointsRequest("new")


class Peer:
    """Accept the connections of a link and keep their remote ends."""

    def __init__(self, monkeypatch):
        self.ends = []
        self.link = PeerLink(HELLO, ADDRESS, Traffic(), Random(1))
        monkeypatch.setattr(peer_link, "RECONNECT_MAX_SECONDS", 0)
        monkeypatch.setattr(peer_link.anyio, "connect_tcp", self._connect)

    async def _connect(self, host, port):
        here, there = join_streams()
        self.ends.append(there)
        if len(self.ends) > 2:
            await anyio.sleep_forever()
        return here

    async def accept(self):
        await anyio.wait_all_tasks_blocked()
        connection = FrameConnection(self.ends[-1], CODEC, Traffic())
        (await connection.open()).unwrap()
        assert (await connection.receive()).unwrap() == HELLO
        return connection


def test_new_connection_drops_messages_of_the_old_one(monkeypatch):
    """Messages are sent while the link has no connection.

    They are stale once it has one and must not reach the peer.
    """
    peer = Peer(monkeypatch)
    link = peer.link

    async def run():
        async with anyio.create_task_group() as group:
            link.send(OLD)
            group.start_soon(link.run)
            first = await peer.accept()
            assert (link.is_up, link.generation) == (True, 1)
            await first.close()
            link.send(OLD)
            second = await peer.accept()
            link.send(NEW)
            assert (await second.receive()).unwrap() == NEW
            assert (link.is_up, link.generation) == (True, 2)
            group.cancel_scope.cancel()

    anyio.run(run)
    assert not link.is_up


@pytest.mark.parametrize("preface", [b"", b"HTTP"])
def test_link_that_was_never_up_logs_no_link_down(monkeypatch, preface):
    """The peer closes the connection before a valid preface.

    Neither ``peer_link_up`` nor ``peer_link_down`` may be logged.
    """
    peer = Peer(monkeypatch)

    async def run():
        async with anyio.create_task_group() as group:
            group.start_soon(peer.link._run_once)
            await anyio.wait_all_tasks_blocked()
            if preface:
                await peer.ends[-1].send(preface)
            await peer.ends[-1].aclose()

    with capture_logs() as events:
        anyio.run(run)
    assert events == []
    assert peer.link.generation == 0

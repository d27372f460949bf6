"""When a starting node accepts the callers that wait for it."""

import asyncio
import socket
from types import SimpleNamespace

import anyio
import anyio.lowlevel
import pytest

from rhubarbhollow_daemon import caller_admission
from rhubarbhollow_daemon.bound_listener import open_listener
from rhubarbhollow_daemon.caller_admission import accept_once_ready


class Listener:
    """Record when the server begins to accept."""

    def __init__(self):
        self.is_serving = False

    async def start_serving(self):
        self.is_serving = True


def test_callers_are_accepted_with_the_first_release():
    """Guard against callers that are refused by a node that starts."""

    async def scenario():
        listener, release = Listener(), anyio.Event()
        node = SimpleNamespace(wait_for_snapshot=release.wait)
        async with anyio.create_task_group() as group:
            group.start_soon(accept_once_ready, listener, node)
            await anyio.sleep(0.03)
            assert not listener.is_serving
            release.set()
        assert listener.is_serving

    anyio.run(scenario)


def test_callers_are_accepted_without_a_release_in_time(monkeypatch):
    """Guard against callers that wait in vain for a release."""
    monkeypatch.setattr(caller_admission, "MAX_HOLD_SECONDS", 0.02)

    async def scenario():
        listener = Listener()
        node = SimpleNamespace(wait_for_snapshot=anyio.Event().wait)
        await accept_once_ready(listener, node)
        assert listener.is_serving

    anyio.run(scenario)


def test_a_caller_that_connects_before_the_start_is_served():
    """Guard against refused connections while the program loads."""
    bound = open_listener("127.0.0.1", 0)
    early = socket.create_connection(bound.getsockname())
    early.sendall(b"early")

    async def scenario():
        received = asyncio.get_running_loop().create_future()

        async def serve(reader, _):
            received.set_result(await reader.readexactly(5))

        server = await asyncio.start_server(
            serve, sock=bound, start_serving=False
        )
        await asyncio.sleep(0.02)
        assert not received.done()
        node = SimpleNamespace(wait_for_snapshot=anyio.lowlevel.checkpoint)
        await accept_once_ready(server, node)
        assert await asyncio.wait_for(received, 5) == b"early"
        server.close()

    with early:
        anyio.run(scenario)


def test_a_port_that_is_taken_is_an_error():
    """Guard against a second process that seems to listen."""
    with open_listener("127.0.0.1", 0) as bound:
        port = bound.getsockname()[1]
        with pytest.raises(OSError, match="in use"):
            open_listener("127.0.0.1", port)

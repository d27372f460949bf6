"""Calls that run, wait or arrive while their node stops."""

import asyncio
import contextlib
import socket
from dataclasses import replace
from datetime import timedelta
from types import SimpleNamespace

import pytest
from tests.standin.claims import LedgerClaims
from tests.standin.http_client import encode_call
from tests.standin.mesh import DEFAULT_ROUTE, Mesh, run, wait_until
from tests.standin.scripted_upstream import (
    ScriptedUpstream,
    echo,
    encode_answer,
)

from rhubarbhollow_daemon.graceful_shutdown import leave_mesh
from rhubarbhollow_daemon.settings_drain import DrainSettings

DRAIN = DrainSettings(
    hold=timedelta(seconds=2.1),
    spread=timedelta(seconds=0.8),
    budget=timedelta(seconds=2.6),
    is_spread_cut_short=True,
)
END = 5.5
# Its calls may run beyond the end of any drain that has begun.
LONG = replace(DEFAULT_ROUTE, is_idempotent=False, timeout_ms=9_000)
SHORT = replace(LONG, latency_seconds=0.5, attempts=3)
EXECUTED = "rhubarbhollow-executed"
TIMEOUT = "rhubarbhollow-timeout-ms"


class Stop:
    """A mesh of which a node stops, with events at set seconds.

    Node a has no upstream, and nodes b and c have one each.
    """

    def __init__(self, route, script, claims=None):
        self.mesh = Mesh(route, claims=claims)
        self.held, self.other = (
            ScriptedUpstream(script),
            ScriptedUpstream(echo),
        )
        self._events = {}

    async def __aenter__(self):
        await self.held.start()
        await self.other.start()
        await self.mesh.add_node("a")
        await self.mesh.add_node("b", self.held)
        return self

    async def __aexit__(self, *_):
        await self.mesh.close()

    async def add_other(self):
        await self.mesh.add_node("c", self.other)

    def at(self, seconds, event):
        self._events[seconds] = event

    async def play(self, name, *, is_all_played=True):
        """Stop node ``name`` and close it; return the seconds taken."""
        node = self.mesh.nodes[name].node
        began = self.mesh.clock.monotonic()

        async def sleep(seconds):
            end = self.mesh.clock.monotonic() + seconds
            for at in sorted(self._events):
                if began + at <= end:
                    event = self._events.pop(at)
                    self.advance_to(began + at)
                    await event()
            self.advance_to(end)
            await asyncio.sleep(0)

        def leave_all():
            if node.local_port is not None:
                upstream = replace(node.local_port.upstream, is_leaving=True)
                node.set_local_upstream(upstream)

        upstreams = SimpleNamespace(leave_all=leave_all)
        await leave_mesh(node, upstreams, DRAIN, sleep)
        node.close()
        assert not (is_all_played and self._events)
        return self.mesh.clock.monotonic() - began

    def advance_to(self, at):
        now = self.mesh.clock.monotonic()
        if at > now:
            self.mesh.advance(at - now)


async def send(stop, entry, target, *lines):
    """Send a request on a new connection, without its response."""
    client = await stop.mesh.client(entry)
    client.send(encode_call("POST", target, b"x", *lines))
    return client


async def never(request, writer):
    await asyncio.Event().wait()


def test_a_short_spread_does_not_shorten_the_time_of_running_calls():
    """Guard against calls cut though there was time left to stop."""
    release = asyncio.Event()

    async def script(request, writer):
        await release.wait()
        await echo(request, writer)

    async def main():
        async with Stop(LONG, script) as stop:
            client = await send(stop, "a", "/1")
            await wait_until(lambda: stop.held.requests)

            async def answer():
                release.set()
                await wait_until(
                    lambda: not stop.mesh.nodes["a"].node.in_flight
                )

            stop.at(5.2, answer)
            seconds = await stop.play("a")
            assert (await client.read_answer()).body == b"POST /1 x"
            assert 5.2 <= seconds <= END

    run(main())


@pytest.mark.parametrize("entry", ["a", "b"])
def test_a_call_still_running_at_the_end_gets_an_answer(entry):
    """Guard against callers that are cut off without an answer."""

    async def main():
        async with Stop(LONG, never) as stop:
            client = await send(stop, entry, "/1")
            await wait_until(lambda: stop.held.requests)
            seconds = await stop.play(entry)
            answer = await client.read_answer()
            assert (answer.status, answer.headers[EXECUTED]) == (
                502,
                "unknown",
            )
            assert answer.headers["connection"] == "close"
            assert END - 0.05 <= seconds <= END + 0.3

    run(main())


def test_another_node_learns_of_a_call_still_running_at_the_end():
    """Guard against a remote caller cut off with the stopping node."""

    async def main():
        async with Stop(LONG, never) as stop:
            client = await send(stop, "a", "/1")
            await wait_until(lambda: stop.held.requests)
            await stop.play("b")
            answer = await client.read_answer()
            assert (answer.status, answer.headers[EXECUTED]) == (
                502,
                "unknown",
            )

    run(main())


def test_a_call_that_waits_at_the_end_is_refused_as_not_run():
    """Guard against a waiting call cut, or reported as perhaps run."""

    async def main():
        async with Stop(LONG, never) as stop:
            client = await stop.mesh.client("b")
            head = b"POST /1 HTTP/1.1\r\nhost: m\r\ncontent-length: 9\r\n\r\n"
            client.send(head + b"half")
            node = stop.mesh.nodes["b"].node
            await wait_until(lambda: node.in_flight)
            await stop.play("b")
            answer = await client.read_answer()
            assert (answer.status, answer.headers[EXECUTED]) == (503, "no")
            assert not stop.held.requests

    run(main())


async def on_new_connection(stop, _, target):
    client = await send(stop, "b", target)
    return await client.read_answer()


async def on_kept_connection(stop, kept, target):
    return await kept.request("POST", target, b"x")


async def in_pieces(stop, kept, target):
    data = encode_call("POST", target, b"xyz")
    for size in (9, len(data) - 2, len(data)):
        kept.send(data[:size])
        data = data[size:]
        await asyncio.sleep(0.01)
    return await kept.read_answer()


async def from_another_node(stop, _, target):
    client = await send(stop, "a", target)
    return await client.read_answer()


@pytest.mark.parametrize(
    "arrival",
    [on_new_connection, on_kept_connection, in_pieces, from_another_node],
)
@pytest.mark.parametrize("seconds", [0.5, 2.0])
def test_a_call_that_may_outlast_the_stop_is_not_passed_on(arrival, seconds):
    """Guard against late calls that are taken only to be cut."""

    async def main():
        async with Stop(LONG, never) as stop:
            kept = await stop.mesh.client("b")
            answers = []

            async def call():
                async with asyncio.timeout(5):
                    answers.append(await arrival(stop, kept, "/late"))

            stop.at(seconds, call)
            await stop.play("b")
            [answer] = answers
            assert (answer.status, answer.headers[EXECUTED]) == (503, "no")
            is_last = arrival is not from_another_node
            assert ("connection" in answer.headers) is is_last
            assert not stop.held.requests

    run(main())


def test_a_late_call_behind_a_running_one_is_not_passed_on():
    """Guard against a queued call that starts late in the stop."""
    release = asyncio.Event()

    async def script(request, writer):
        await release.wait()
        await echo(request, writer)

    async def main():
        async with Stop(LONG, script) as stop:
            client = await send(stop, "b", "/1")
            await wait_until(lambda: stop.held.requests)
            client.send(encode_call("POST", "/2", b"y"))

            async def end_first():
                release.set()
                assert (await client.read_answer()).body == b"POST /1 x"
                answer = await client.read_answer()
                assert (answer.status, answer.headers[EXECUTED]) == (503, "no")

            stop.at(1.9, end_first)
            await stop.play("b")
            assert [each.target for each in stop.held.requests] == ["/1"]

    run(main())


@pytest.mark.parametrize("entry", ["a", "b"])
def test_a_call_taken_while_callers_leave_knows_how_long_it_has(entry):
    """Guard against an upstream at work beyond the end of its node."""

    async def main():
        async with Stop(SHORT, echo) as stop:

            async def call():
                client = await send(stop, entry, "/1")
                assert (await client.read_answer()).status == 200

            stop.at(2.0, call)
            await stop.play(entry)
            [request] = stop.held.requests
            assert 3_000 < int(request.headers[TIMEOUT]) < 3_500

    run(main())


def test_a_call_whose_key_is_claimed_late_is_not_passed_on():
    """Guard against a keyed call that waits, starts late and is cut."""

    async def main():
        claims = LedgerClaims()
        claims.can_answer.clear()
        async with Stop(LONG, never, claims) as stop:
            client = await send(stop, "a", "/1", "idempotency-key: k1")
            node = stop.mesh.nodes["a"].node
            await wait_until(lambda: node.in_flight == 2)

            async def claim():
                claims.can_answer.set()
                answer = await client.read_answer()
                assert (answer.status, answer.headers[EXECUTED]) == (503, "no")

            stop.at(2.0, claim)
            await stop.play("a")
            assert not stop.held.requests

    run(main())


def test_a_call_whose_body_ends_late_is_not_passed_on():
    """Guard against a request that is whole only late in the stop."""

    async def main():
        async with Stop(LONG, never) as stop:
            client = await stop.mesh.client("b")
            head = b"POST /1 HTTP/1.1\r\nhost: m\r\ncontent-length: 9\r\n\r\n"
            client.send(head + b"half")
            node = stop.mesh.nodes["b"].node
            await wait_until(lambda: node.in_flight)

            async def end_request():
                client.send(b"whole")
                answer = await client.read_answer()
                assert (answer.status, answer.headers[EXECUTED]) == (503, "no")

            stop.at(4.0, end_request)
            await stop.play("b")
            assert not stop.held.requests

    run(main())


def test_a_late_failure_is_not_tried_again_at_another_upstream():
    """Guard against a second attempt that the end of the node cuts."""
    release = asyncio.Event()

    async def script(request, writer):
        await release.wait()
        raise ConnectionError

    route = replace(SHORT, latency_seconds=2.0, is_idempotent=True)

    async def main():
        async with Stop(route, script) as stop:
            client = await send(stop, "a", "/1")
            await wait_until(lambda: stop.held.requests)
            await stop.add_other()

            async def fail():
                release.set()
                answer = await client.read_answer()
                assert answer.headers[EXECUTED] == "unknown"

            stop.at(4.0, fail)
            await stop.play("a")
            assert not stop.other.requests

    run(main())


def test_an_answer_on_its_way_to_a_slow_caller_is_not_truncated():
    """Guard against a stop that drops the unsent rest of an answer."""
    body = b"x" * 60_000

    async def script(request, writer):
        writer.write(encode_answer(body))

    async def main():
        async with Stop(LONG, script) as stop:
            node = stop.mesh.nodes["b"].node
            caller = await connect_slowly(stop.mesh.nodes["b"])
            caller.sendall(encode_call("POST", "/1", b"x"))
            await wait_until(lambda: stop.held.requests)
            await wait_until(lambda: not node.in_flight)
            [connection] = node._connections
            unsent = connection._transport.get_write_buffer_size
            assert unsent() > 20_000
            reading = None

            async def begin_reading():
                nonlocal reading
                reading = asyncio.create_task(read_all(caller))
                await wait_until(lambda: not unsent())

            stop.at(3.5, begin_reading)
            await stop.play("b", is_all_played=False)
            received = await (reading or read_all(caller))
            caller.close()
            assert received.endswith(body)

    run(main())


async def connect_slowly(mesh_node):
    """Connect a caller with small buffers on both sides."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    caller.connect(("127.0.0.1", mesh_node.caller_port))
    caller.setblocking(False)
    connections = mesh_node.node._connections
    await wait_until(lambda: connections)
    [connection] = connections
    accepted = connection._transport.get_extra_info("socket")
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    return caller


async def read_all(caller):
    """Return what arrives until the connection is closed or reset."""
    loop, received = asyncio.get_running_loop(), bytearray()
    with contextlib.suppress(ConnectionError):
        while data := await loop.sock_recv(caller, 65_536):
            received.extend(data)
    return received

"""Pipelined calls overlap where that is safe, and answer in order."""

import asyncio

import pytest
from tests.standin.http_client import encode_call
from tests.standin.mesh import Mesh, run, wait_until
from tests.standin.scripted_upstream import (
    ScriptedUpstream,
    echo,
    encode_answer,
)

from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.call_route import CallRoute
from rhubarbhollow_calls.http_limits import (
    MAX_HELD_BYTES,
    MAX_OVERLAPPING_CALLS,
)

ENTRIES = pytest.mark.parametrize("entry", ["a", "b"], ids=["two", "one"])
# Bytes that one read of the event loop returns at most.
READ_BYTES = 262_144
BIG = b"x" * 2_000_000


def make_route(name, prefix, *, is_idempotent, attempts=1):
    return CallRoute(
        name, "*", prefix, "desk", 5_000, attempts, 1.0,
        CallPriority.INTERACTIVE, is_idempotent=is_idempotent, fallbacks=(),
    )  # fmt: skip


READ = make_route("read", "/", is_idempotent=True)
WRITE = make_route("write", "/write/", is_idempotent=False)


def pipeline_test(script, check, *routes, entry="a", slots=40):
    """Run ``check`` with a caller that pipelines at ``entry``."""

    async def main():
        upstream = ScriptedUpstream(script)
        await upstream.start()
        mesh = Mesh(*(routes or (READ, WRITE)))
        await mesh.add_node("a")
        await mesh.add_node("b", upstream, slots=slots)
        client = await mesh.client(entry)
        await check(mesh, upstream, client)
        await wait_until(
            lambda: not any(n.node.in_flight for n in mesh.nodes.values())
        )
        assert mesh.nodes["b"].node.local_port.gate.is_idle
        client.close()
        await mesh.close()

    run(main())


def encode_gets(*targets):
    return b"".join(encode_call("GET", target, b"") for target in targets)


def targets_of(upstream):
    return [request.target for request in upstream.requests]


@ENTRIES
def test_safe_calls_run_at_the_same_time_and_answer_in_order(entry):
    """Guard against a slow call that delays the ones behind it."""
    release = asyncio.Event()

    async def script(request, writer):
        if request.target == "/0":
            await release.wait()
        await echo(request, writer)

    async def check(mesh, upstream, client):
        client.send(encode_gets("/0", "/1", "/2"))
        await wait_until(lambda: len(upstream.requests) == 3)
        release.set()
        bodies = [(await client.read_answer()).body for _ in range(3)]
        assert bodies == [b"GET /0 ", b"GET /1 ", b"GET /2 "]

    pipeline_test(script, check, entry=entry)


@ENTRIES
def test_a_call_that_may_not_be_repeated_runs_alone(entry):
    """Guard against running what a closing answer declares unread.

    Neither starts a write behind a read, nor a read behind a write.
    """
    gates = {name: asyncio.Event() for name in ("/0", "/write/1", "/2")}

    async def script(request, writer):
        await gates[request.target].wait()
        await echo(request, writer)

    async def check(mesh, upstream, client):
        client.send(encode_gets("/0", "/write/1", "/2"))
        for count, target in enumerate(gates, 1):
            await wait_until(lambda: len(upstream.requests) >= count)  # noqa: B023
            await asyncio.sleep(0.02)
            assert targets_of(upstream) == list(gates)[:count]
            gates[target].set()
            assert (
                await client.read_answer()
            ).body == f"GET {target} ".encode()

    pipeline_test(script, check, entry=entry)


def test_the_number_of_overlapping_calls_is_bounded():
    release = asyncio.Event()

    async def script(request, writer):
        await release.wait()
        await echo(request, writer)

    async def check(mesh, upstream, client):
        targets = [f"/{i}" for i in range(MAX_OVERLAPPING_CALLS + 5)]
        client.send(encode_gets(*targets))
        await wait_until(
            lambda: len(upstream.requests) >= MAX_OVERLAPPING_CALLS
        )
        await asyncio.sleep(0.02)
        assert len(upstream.requests) == MAX_OVERLAPPING_CALLS
        [connection] = mesh.nodes["b"].node._connections
        assert connection._is_reading_paused
        release.set()
        for target in targets:
            answer = await client.read_answer()
            assert answer.body == f"GET {target} ".encode()
        assert not connection._is_reading_paused

    pipeline_test(script, check, entry="b")


@ENTRIES
def test_responses_that_wait_for_their_turn_use_bounded_memory(entry):
    """Guard against holding long responses whole."""
    release = asyncio.Event()

    async def script(request, writer):
        if request.target == "/0":
            await release.wait()
        writer.write(encode_answer(BIG))

    async def check(mesh, upstream, client):
        count = 4
        client.send(encode_gets(*(f"/{i}" for i in range(count))))
        [connection] = mesh.nodes[entry].node._connections
        await wait_until(lambda: connection._held_bytes > MAX_HELD_BYTES)
        await asyncio.sleep(0.05)
        limit = MAX_HELD_BYTES + count * READ_BYTES
        assert connection._held_bytes <= limit < 3 * len(BIG)
        release.set()
        for _ in range(count):
            assert (await client.read_answer()).body == BIG
        assert connection._held_bytes == 0

    pipeline_test(script, check, entry=entry)


@ENTRIES
def test_a_response_that_breaks_off_does_not_take_others_with_it(entry):
    """Guard against resetting a connection with calls behind.

    None of the broken response was sent, so its call is refused.
    """

    async def script(request, writer):
        if request.target == "/0":
            await release.wait()
            writer.write(
                b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n" + b"x" * 50
            )
            await writer.drain()
            writer.close()
            return
        await echo(request, writer)

    async def check(mesh, upstream, client):
        client.send(encode_gets("/0", "/1", "/2"))
        await wait_until(lambda: len(upstream.requests) == 3)
        release.set()
        assert (await client.read_answer()).status == 502
        assert (await client.read_answer()).body == b"GET /1 "
        assert (await client.read_answer()).body == b"GET /2 "

    release = asyncio.Event()
    pipeline_test(script, check, entry=entry)


@ENTRIES
def test_nothing_behind_a_last_request_reaches_an_upstream(entry):
    """Guard against running what callers count as unread."""

    async def check(mesh, upstream, client):
        last = encode_call("GET", "/1", b"", "connection: close")
        behind = encode_gets("/2", "/write/3")
        client.send(encode_gets("/0") + last + behind)
        assert (await client.read_answer()).body == b"GET /0 "
        answer = await client.read_answer()
        assert answer.headers["connection"] == "close"
        assert await client.read_to_end() == b""
        assert sorted(targets_of(upstream)) == ["/0", "/1"]

    pipeline_test(echo, check, entry=entry)


@ENTRIES
def test_a_draining_node_answers_what_overlaps_and_then_closes(entry):
    """Guard against cutting or losing calls behind the first one."""
    release = asyncio.Event()

    async def script(request, writer):
        await release.wait()
        await echo(request, writer)

    async def check(mesh, upstream, client):
        client.send(encode_gets("/0", "/1"))
        await wait_until(lambda: len(upstream.requests) == 2)
        for connection in mesh.nodes[entry].node._connections:
            connection.begin_drain()
        release.set()
        first, second = [await client.read_answer() for _ in range(2)]
        assert first.body + second.body == b"GET /0 GET /1 "
        assert "connection" not in first.headers
        assert second.headers["connection"] == "close"
        assert await client.read_to_end() == b""

    pipeline_test(script, check, entry=entry)


@ENTRIES
def test_a_caller_that_leaves_cancels_all_its_calls(entry):
    """Guard against work for a caller that is gone."""

    async def script(request, writer):
        await asyncio.Event().wait()

    async def check(mesh, upstream, client):
        client.send(encode_gets("/0", "/1", "/2"))
        await wait_until(lambda: len(upstream.requests) == 3)
        client.close()

    pipeline_test(script, check, entry=entry)


def test_a_deadline_of_the_first_call_leaves_the_others_alone():
    """Guard against a reset when a held response runs out of time."""

    async def script(request, writer):
        if request.target == "/0":
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nx")
            return
        await echo(request, writer)

    async def check(mesh, upstream, client):
        client.send(
            encode_call("GET", "/0", b"", "rhubarbhollow-timeout-ms: 100")
            + encode_gets("/1")
        )
        await wait_until(lambda: len(upstream.requests) == 2)
        await asyncio.sleep(0.05)
        mesh.advance(0.2)
        assert (await client.read_answer()).status == 504
        assert (await client.read_answer()).body == b"GET /1 "

    pipeline_test(script, check, entry="b")

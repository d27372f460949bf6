"""Responses whose status is no status, and interim ones without end."""

import asyncio
from dataclasses import replace

import pytest
from tests.standin.mesh import DEFAULT_ROUTE, Mesh, run, wait_until
from tests.standin.scripted_upstream import ScriptedUpstream, encode_answer

from rhubarbhollow_calls.http_dialect import NATIVE_DIALECT, Dialect
from rhubarbhollow_calls.io_settings import CallSettings

FOREIGN = Dialect(
    request_id=b"x-id",
    time_limit=b"x-left",
    upstream=b"x-only",
    origin=b"x-from",
    not_run=b"x-untouched",
    is_foreign=True,
)
STATUSES = [
    "000",
    "099",
    "1",
    "20",
    "99",
    "2000",
    "0200",
    "+200",
    "-200",
    "+20",
    "2x0",
    "two",
    "",
]
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
both = pytest.mark.parametrize("dialect", [FOREIGN, NATIVE_DIALECT])
entries = pytest.mark.parametrize("entry", ["a", "b"])


def answering(status, request):
    fields = [f"x-id: {request.headers.get('x-id', '7')}"]
    return encode_answer(b"passed?", *fields, status=f"{status} Odd")


async def start(dialect, script, *, is_idempotent):
    upstream = ScriptedUpstream(script)
    await upstream.start()
    route = replace(
        DEFAULT_ROUTE, is_idempotent=is_idempotent, latency_seconds=2.0
    )
    mesh = Mesh(route, settings=CallSettings(dialect=dialect, origin=b"s"))
    await mesh.add_node("a")
    await mesh.add_node("b", upstream)
    return mesh, upstream


async def ask(mesh, entry, dialect):
    client = await mesh.client(entry)
    line = f"{dialect.request_id.decode()}: 7"
    return await client.request("POST", "/a", b"x", line)


@both
@entries
@pytest.mark.parametrize("status", STATUSES)
def test_a_malformed_status_is_no_answer_and_no_proof(entry, dialect, status):
    """Guard against passing it on and against a second run."""

    async def main():
        async def odd(request, writer):
            writer.write(answering(status, request))

        mesh, upstream = await start(dialect, odd, is_idempotent=False)
        reply = await ask(mesh, entry, dialect)
        assert reply.status == 502
        assert reply.headers["rhubarbhollow-executed"] == "unknown"
        assert b"passed?" not in reply.body
        assert len(upstream.requests) == 1
        await mesh.close()

    run(main())


@both
@entries
@pytest.mark.parametrize("status", STATUSES)
def test_an_idempotent_request_is_sent_again(entry, dialect, status):
    """Guard against calls that fail although they may be repeated."""

    async def main():
        async def odd(request, writer):
            writer.write(answering(status, request))

        async def well(request, writer):
            writer.write(answering("200", request))

        mesh, upstream = await start(dialect, odd, is_idempotent=True)
        other = ScriptedUpstream(well)
        await other.start()
        await mesh.add_node("c", other)
        for _ in range(8):
            reply = await ask(mesh, entry, dialect)
            assert reply.status == 200
        assert upstream.requests
        await mesh.close()

    run(main())


@both
@entries
def test_interim_responses_without_end_fail_the_attempt(entry, dialect):
    """Guard against a call and a buffer that an upstream keeps open."""

    async def main():
        async def endless(request, writer):
            while True:
                writer.write(INTERIM * 64)
                await writer.drain()

        mesh, upstream = await start(dialect, endless, is_idempotent=False)
        reply = await ask(mesh, entry, dialect)
        assert reply.status == 502
        assert reply.headers["rhubarbhollow-executed"] == "unknown"
        assert len(upstream.requests) == 1
        assert mesh.nodes["b"].node.local_port.gate.in_use == 0
        await mesh.close()

    run(main())


@both
@entries
def test_slow_interim_responses_end_at_the_deadline(entry, dialect):
    """Guard against interim responses that put a deadline off."""

    async def main():
        async def slow(request, writer):
            for _ in range(1000):
                writer.write(INTERIM)
                await asyncio.sleep(0.005)

        mesh, upstream = await start(dialect, slow, is_idempotent=False)
        task = asyncio.create_task(ask(mesh, entry, dialect))
        await wait_until(lambda: len(upstream.requests) == 1)
        await asyncio.sleep(0.05)
        mesh.advance(5.5)
        reply = await task
        assert reply.status == 504
        assert reply.headers["rhubarbhollow-executed"] == "unknown"
        await mesh.close()

    run(main())

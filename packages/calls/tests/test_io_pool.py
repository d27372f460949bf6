"""Connection reuse, idle timeouts and limits."""

import asyncio
from dataclasses import replace

import pytest
from tests.standin.http_client import encode_call
from tests.standin.mesh import Mesh, run, wait_until
from tests.standin.scripted_upstream import ScriptedUpstream, echo

from rhubarbhollow_calls.io_settings import CallSettings

SETTINGS = CallSettings(
    peer_connections=1,
    connection_waiters=1,
    upstream_idle_seconds=2,
    peer_idle_seconds=4,
    caller_idle_seconds=6,
    head_timeout_seconds=3,
    kept_connections=2,
)


def pool_test(check, script=echo, settings=SETTINGS):
    async def main():
        upstream = ScriptedUpstream(script)
        await upstream.start()
        mesh = Mesh(settings=settings)
        await mesh.add_node("a")
        await mesh.add_node("b", upstream)
        nodes = [mesh.nodes[name].node for name in "ab"]
        await check(mesh, upstream, *nodes)
        await mesh.close()

    run(main())


def test_idle_connections_close_after_their_timeout():
    """Check the idle timeout of each kind of connection."""

    async def check(mesh, upstream, a, b):
        client = await mesh.client("a")
        assert (await client.get("/")).status == 200
        [peers] = a._peer_pools.values()
        upstreams = b.local_port.pool
        for tick in range(1, 8):
            a.tick()
            b.tick()
            await wait_until(lambda n=tick: upstream.closed == (n > 2))
            assert upstreams.open_connections == (tick <= 2)
            assert peers.open_connections == (tick <= 4)
            assert len(a._peer_pools) == (tick <= 4)
        assert await client.read_to_end() == b""

    pool_test(check)


@pytest.mark.parametrize(
    ("sent", "ticks"), [(b"", 7), (b"GET / HTTP/1.1\r\nho", 4)]
)
def test_a_caller_that_sends_no_complete_head_times_out(sent, ticks):
    """Guard against connections held open by slow or silent callers."""

    async def check(mesh, upstream, a, b):
        client = await mesh.client("a")
        client.send(sent)
        await wait_until(lambda: a._connections)
        [connection] = a._connections
        reader = connection._reader
        await wait_until(lambda: reader.is_mid_message == bool(sent))
        for _ in range(ticks - 1):
            a.tick()
        await asyncio.sleep(0)
        assert a._connections
        a.tick()
        assert await client.read_to_end() == b""

    pool_test(check)


@pytest.mark.parametrize("host", ["a..b", "a" * 64, "\u00e9" * 64, "\0"])
def test_a_host_that_cannot_be_resolved_is_refused_at_once(host):
    """Guard against a call that waits for a connection in vain."""

    async def check(mesh, upstream, a, b):
        good = mesh.endpoints["desk-b"]
        mesh.endpoints["desk-b"] = replace(good, peer_host=host)
        mesh._publish_endpoints()
        client = await mesh.client("a")
        answer = await client.get("/")
        assert answer.headers["rhubarbhollow-refusal"] == "unreachable"
        assert answer.headers["rhubarbhollow-executed"] == "no"
        assert not upstream.requests

    pool_test(check)


def test_calls_wait_for_connections_up_to_a_limit():
    """Guard against an unbounded queue when the pool is exhausted."""

    async def script(request, writer):
        await release.wait()
        await echo(request, writer)

    async def check(mesh, upstream, a, b):
        clients = [await mesh.client("a") for _ in range(2)]
        for number, client in enumerate(clients):
            client.send(encode_call("GET", f"/{number}", b""))
            await wait_until(lambda n=number: a.in_flight > n)
            await wait_until(lambda: upstream.requests)
        for _ in range(9):
            a.tick()
        late = await mesh.client("a")
        answer = await late.get("/2")
        assert answer.headers["rhubarbhollow-refusal"] == "queue_full"
        assert answer.headers["rhubarbhollow-executed"] == "no"
        assert len(upstream.requests) == 1
        release.set()
        for number, client in enumerate(clients):
            answer = await client.read_answer()
            assert answer.body == f"GET /{number} ".encode()

    release = asyncio.Event()
    pool_test(check, script)


def test_connections_above_the_limit_serve_one_call():
    """Guard against keeping an unbounded number of connections."""

    async def check(mesh, upstream, a, b):
        clients = [await mesh.client("b") for _ in range(4)]
        for client, is_last in zip(clients, (0, 0, 1, 1), strict=True):
            answer = await client.get("/")
            assert answer.status == 200
            assert ("connection" in answer.headers) == is_last

    pool_test(check)


def forget_rested(rested):
    """Return a script that resets the next request after a rest."""

    async def script(request, writer):
        if rested[0]:
            rested[0] = False
            writer.transport.abort()
            return
        await echo(request, writer)

    return script


def test_connections_that_the_upstream_forgets_are_used_once():
    """Guard against a failure for each connection that rested."""
    rested = [False]

    async def check(mesh, upstream, a, b):
        async def statuses(count):
            clients = [await mesh.client("b") for _ in range(count)]
            answers = await asyncio.gather(
                *(client.get("/") for client in clients)
            )
            return [answer.status for answer in answers]

        assert await statuses(4) == [200] * 4
        before = upstream.opened
        mesh.advance(0.8)
        rested[0] = True
        [status] = await statuses(1)
        assert status != 200
        mesh.advance(0.5)
        assert await statuses(1) == [200]
        # One of the two checked whether the upstream still listens.
        assert upstream.opened == before + 2
        mesh.advance(0.1)
        assert await statuses(1) == [200]
        assert upstream.opened == before + 2

    pool_test(check, forget_rested(rested), CallSettings())

"""Responses are complete, in order and matched with their requests."""

import asyncio

import pytest
from tests.standin.http_client import encode_call
from tests.standin.mesh import Mesh, run, wait_until
from tests.standin.scripted_upstream import (
    ScriptedUpstream,
    echo,
    encode_answer,
)

CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
HOPS = pytest.mark.parametrize("entry", ["a", "b"], ids=["two", "one"])


def mesh_test(script, check, *routes, entry="a", **options):
    """Run ``check`` on node a and on node b, which has the upstream."""

    async def main():
        upstream = ScriptedUpstream(script)
        await upstream.start()
        mesh = Mesh(*routes, **options)
        await mesh.add_node("a")
        await mesh.add_node("b", upstream)
        client = await mesh.client(entry)
        await check(mesh, upstream, client)
        await wait_until(
            lambda: not any(n.node.in_flight for n in mesh.nodes.values())
        )
        assert mesh.nodes["b"].node.local_port.gate.is_idle
        client.close()
        await mesh.close()

    run(main())


@HOPS
def test_pipelined_requests_are_answered_in_order(entry):
    """Guard against responses out of order on one connection.

    The caller sends 50 requests and a malformed one in a single write.
    """

    async def script(request, writer):
        # Hold the first answer back while the other requests queue up.
        if request.target == "/0":
            await release.wait()
        await echo(request, writer)

    async def check(mesh, upstream, client):
        calls = [encode_call("POST", f"/{i}", b"x" * i) for i in range(50)]
        bad = b"GET / HTTP/1.0\r\n\r\n"
        client.send(b"".join(calls) + bad + b"GET /never")
        await wait_until(lambda: upstream.requests)
        release.set()
        for i in range(50):
            answer = await client.read_answer()
            assert answer.body == f"POST /{i} ".encode() + b"x" * i
        assert (await client.read_answer()).status == 505
        assert await client.read_to_end() == b""
        assert len(upstream.requests) == 50

    release = asyncio.Event()
    mesh_test(script, check, entry=entry)


def test_a_new_route_is_not_denied_by_a_node_that_may_lack_its_release():
    async def check(mesh, upstream, client):
        for member in mesh.nodes.values():
            member.node.route = lambda host, target: None
            member.node.is_release_confirmed = lambda: False
        client.send(b"GET /new HTTP/1.1\r\nhost:a\r\n\r\n")
        answer = await client.read_answer()
        assert answer.status == 503
        assert answer.headers["rhubarbhollow-executed"] == "no"
        for member in mesh.nodes.values():
            member.node.is_release_confirmed = lambda: True
        client.send(b"GET /new HTTP/1.1\r\nhost:a\r\n\r\n")
        assert (await client.read_answer()).status == 404

    mesh_test(echo, check)


def test_many_refused_requests_in_one_read_need_no_recursion():
    """Guard against exhausting the stack.

    Refused calls end synchronously, so starting each next call from the
    end of the one before would nest 5,000 levels deep.
    """

    async def check(mesh, upstream, client):
        for member in mesh.nodes.values():
            member.node.route = lambda host, target: None
        client.send(b"GET / HTTP/1.1\r\nhost:a\r\n\r\n" * 5_000)
        for _ in range(5_000):
            assert (await client.read_answer()).status == 404

    mesh_test(echo, check)


@HOPS
@pytest.mark.parametrize(
    "start",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n" + b"x" * 50,
        CHUNKED + b"3\r\nabc\r\n",
        CHUNKED + b"3\r\nabc\r\nZZ\r\n",
    ],
)
def test_a_truncated_answer_never_looks_complete(entry, start):
    """Guard against ending a truncated response as if it were complete.

    The upstream closes the connection or breaks the chunked framing in
    the middle of a body.
    """

    async def script(request, writer):
        writer.write(start)
        await writer.drain()
        writer.close()

    async def check(mesh, upstream, client):
        answer = await client.get("/")
        assert answer.status == 200
        assert not answer.is_whole
        assert await client.read_to_end() == b""
        counters = mesh.nodes[entry].node.route_states[0].counters
        assert (counters.aborted, counters.answered) == (1, 0)

    mesh_test(script, check, entry=entry)


@HOPS
def test_an_answer_without_a_delimited_end_is_refused(entry):
    """Guard against trusting EOF as the end of a native response.

    A crashing upstream closes its connections too.
    """

    async def script(request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\npart of a body")
        await writer.drain()
        writer.close()

    async def check(mesh, upstream, client):
        answer = await client.get("/")
        assert answer.status == 502
        assert answer.headers["rhubarbhollow-executed"] == "unknown"

    mesh_test(script, check, entry=entry)


@HOPS
def test_surplus_bytes_are_never_read_as_the_next_answer(entry):
    """Guard against answering a call with another call's response.

    The upstream writes a second response after the first one.
    """

    async def script(request, writer):
        writer.write(encode_answer(request.target.encode()))
        writer.write(encode_answer(b"crossed"))

    async def check(mesh, upstream, client):
        for i in range(5):
            assert (await client.get(f"/{i}")).body == f"/{i}".encode()
        assert upstream.opened == 5

    mesh_test(script, check, entry=entry)


@HOPS
def test_a_late_answer_is_never_matched_with_a_later_request(entry):
    """Guard against answering a call with another call's response.

    The first response arrives after its call has timed out.
    """

    async def script(request, writer):
        if request.target == "/slow":
            await release.wait()
        writer.write(encode_answer(request.target.encode()))

    async def check(mesh, upstream, client):
        client.send(encode_call("GET", "/slow", b""))
        await wait_until(lambda: upstream.requests)
        mesh.advance(6)
        answer = await client.read_answer()
        assert answer.status == 504
        assert answer.headers["rhubarbhollow-executed"] == "unknown"
        await wait_until(lambda: not mesh.nodes["b"].node.in_flight)
        release.set()
        for i in range(3):
            assert (await client.get(f"/{i}")).body == f"/{i}".encode()

    release = asyncio.Event()
    mesh_test(script, check, entry=entry)


@HOPS
def test_bodies_stream_both_ways_without_being_buffered(entry):
    """Guard against unbounded buffers when one side is slower."""
    part = bytes(range(256)) * 256
    parts = 200
    most_buffered = 0

    async def script(request, writer):
        nonlocal most_buffered
        writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        for _ in range(parts):
            writer.write(b"%x\r\n%b\r\n" % (len(part), part))
            await writer.drain()
            most_buffered = max(most_buffered, *buffered())
        writer.write(b"0\r\n\r\n")

    def buffered():
        for member in nodes:
            for connection in member.node._connections:
                yield connection._transport.get_write_buffer_size()

    async def check(mesh, upstream, client):
        nodes.extend(mesh.nodes.values())
        answer = await client.request("POST", "/", part * 20)
        assert answer.body == part * parts
        assert upstream.requests[0].body == part * 20
        assert most_buffered < 2 * 1024 * 1024

    nodes = []
    mesh_test(script, check, entry=entry)


@HOPS
def test_a_caller_that_disconnects_cancels_the_upstream_call(entry):
    """Guard against slots and connections that leak.

    The caller disconnects while the upstream still works on its call.
    """

    async def script(request, writer):
        await asyncio.Event().wait()

    async def check(mesh, upstream, client):
        client.send(encode_call("GET", "/", b""))
        await wait_until(lambda: upstream.requests)
        client.close()
        await wait_until(
            lambda: not any(n.node.in_flight for n in mesh.nodes.values())
        )
        port = mesh.nodes["b"].node.local_port
        assert port.pool.open_connections == 0
        assert port.gate.in_use == 0
        assert mesh.nodes[entry].node.route_states[0].counters.cancelled == 1
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    mesh_test(script, check, entry=entry)


@HOPS
def test_a_truncated_request_never_reaches_the_upstream_complete(entry):
    """Guard against running a request whose body is incomplete.

    The caller disconnects in the middle of the body.
    """

    async def check(mesh, upstream, client):
        start = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9000\r\n\r\n"
        client.send(start + b"x" * 5_000)
        await wait_until(lambda: upstream.opened)
        client.close()
        await wait_until(lambda: upstream.closed)
        assert not upstream.requests

    mesh_test(echo, check, entry=entry)


@HOPS
def test_a_malformed_body_is_refused_and_the_connection_closed(entry):
    async def check(mesh, upstream, client):
        start = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked"
        client.send(start + b"\r\n\r\n3\r\nabc\r\nZZ\r\n")
        answer = await client.read_answer()
        assert answer.status == 400
        assert await client.read_to_end() == b""
        assert not upstream.requests

    mesh_test(echo, check, entry=entry)


@HOPS
def test_an_early_answer_leaves_the_connection_in_sync(entry):
    """Guard against reading body bytes as the next request.

    The call is refused before its body has arrived.
    """

    async def script(request, writer):
        await echo(request, writer)

    async def check(mesh, upstream, client):
        mesh.nodes["a"].node.route = lambda host, target: None
        mesh.nodes["b"].node.route = lambda host, target: None
        start = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n"
        client.send(start)
        assert (await client.read_answer()).status == 404
        client.send(b"GET / HTT" + encode_call("GET", "/next", b""))
        assert (await client.read_answer()).status == 404

    mesh_test(script, check, entry=entry)


@HOPS
def test_a_caller_may_expect_100_continue_before_its_body(entry):
    """Check that the node answers Expect itself.

    The field must not reach the upstream.
    """

    async def check(mesh, upstream, client):
        call = encode_call("POST", "/", b"hello", "expect: 100-continue")
        head, body = call[:-5], call[-5:]
        client.send(head)
        assert (await client.read_answer()).status == 100
        client.send(body)
        answer = await client.read_answer()
        assert answer.body == b"POST / hello"
        assert answer.headers["connection"] == "close"
        assert "expect" not in upstream.requests[0].headers

    mesh_test(echo, check, entry=entry)


@HOPS
def test_fields_are_set_at_each_hop_and_cannot_be_forged(entry):
    """Guard against forged internal fields.

    Both the caller and the upstream send header fields that only nodes
    may set.
    """

    async def script(request, writer):
        lines = ("rhubarbhollow-executed: no", "rhubarbhollow-position: 99")
        writer.write(
            encode_answer(b"", *lines, "x-own: 1", "connection: close")
        )

    async def check(mesh, upstream, client):
        answer = await client.get(
            "/",
            "rhubarbhollow-route: forged",
            "rhubarbhollow-timeout-ms: 400",
            "rhubarbhollow-depth: 4",
            "rhubarbhollow-request-id: r-1",
            "connection: x-gone",
            "x-gone: 1",
        )
        assert answer.status == 200
        assert answer.headers == {
            "content-length": "0",
            "x-own": "1",
            "rhubarbhollow-position": "7",
            "rhubarbhollow-upstream": "desk-b",
            "rhubarbhollow-request-id": "r-1",
        }
        headers = dict(upstream.requests[0].headers)
        assert 390 < int(headers.pop("rhubarbhollow-timeout-ms")) < 400
        assert headers.pop("rhubarbhollow-upstream", "desk-b") == "desk-b"
        assert headers.pop("rhubarbhollow-attempt")
        headers.pop("rhubarbhollow-priority", None)
        headers.pop("rhubarbhollow-idempotent", None)
        assert headers == {
            "host": "mesh",
            "rhubarbhollow-position": "7",
            "rhubarbhollow-route": "lookup",
            "rhubarbhollow-depth": "5",
            "rhubarbhollow-request-id": "r-1",
        }

    mesh_test(script, check, entry=entry)


@pytest.mark.parametrize(
    ("line", "status", "kind"),
    [
        ("rhubarbhollow-depth: 32", 400, "bad_request"),
        ("rhubarbhollow-timeout-ms: 0", 504, "deadline"),
    ],
)
def test_calls_that_cannot_begin_are_refused_as_not_run(line, status, kind):
    async def check(mesh, upstream, client):
        answer = await client.get("/", line)
        assert answer.status == status
        assert answer.headers["rhubarbhollow-executed"] == "no"
        assert answer.headers["rhubarbhollow-refusal"] == kind
        assert not upstream.requests

    mesh_test(echo, check)


def test_head_requests_get_answers_without_a_body():
    async def script(request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 70\r\n\r\n")

    async def check(mesh, upstream, client):
        for _ in range(3):
            answer = await client.request("HEAD", "/", b"")
            assert answer.headers["content-length"] == "70"
        assert upstream.opened == 1

    mesh_test(script, check)

"""Calls with the header names of a foreign dialect."""

import asyncio
from dataclasses import replace

import pytest
from tests.standin.mesh import DEFAULT_ROUTE, Mesh, run, wait_until
from tests.standin.scripted_upstream import (
    ScriptedUpstream,
    encode_answer,
)

from rhubarbhollow_calls.http_dialect import Dialect
from rhubarbhollow_calls.io_settings import CallSettings

FOREIGN = Dialect(
    request_id=b"x-id",
    time_limit=b"x-left",
    upstream=b"x-only",
    origin=b"x-from",
    not_run=b"x-untouched",
    is_foreign=True,
)
SETTINGS = CallSettings(dialect=FOREIGN, origin=b"shop")
ROUTE = replace(DEFAULT_ROUTE, latency_seconds=2.0, rank=1)


async def answer_with_id(request, writer):
    writer.write(encode_answer(b"well", f"x-id: {request.headers['x-id']}"))


async def answer_stray_first(request, writer):
    writer.write(encode_answer(b"stray", "x-id: another"))
    await answer_with_id(request, writer)


async def answer_without_id(request, writer):
    writer.write(encode_answer(b"whose?"))


async def answer_until_close(request, writer):
    head = f"HTTP/1.1 200 OK\r\nx-id: {request.headers['x-id']}\r\n\r\n"
    writer.write(head.encode() + b"all of it")
    writer.close()


async def refuse(request, writer):
    writer.write(
        encode_answer(b"", "x-untouched: 1", status="503 Service Unavailable")
    )


async def misdirect(request, writer):
    writer.write(encode_answer(b"", status="421 Misdirected Request"))


async def two_nodes(script, route=ROUTE, **kwargs):
    upstream = ScriptedUpstream(script)
    await upstream.start()
    mesh = Mesh(route, settings=SETTINGS)
    await mesh.add_node("a")
    await mesh.add_node("b", upstream, **kwargs)
    return mesh, upstream


@pytest.mark.parametrize("entry", ["a", "b"])
def test_an_upstream_receives_the_fields_of_its_dialect(entry):
    """Guard against native fields at a foreign upstream.

    Forged fields of its dialect must be replaced as well.
    """

    async def main():
        mesh, upstream = await two_nodes(answer_with_id)
        client = await mesh.client(entry)
        answer = await client.request(
            "GET", "/a", b"", "x-id: 1.2", "x-left: 900", "x-from: forged"
        )
        assert (answer.status, answer.body) == (200, b"well")
        headers = upstream.requests[0].headers
        assert headers["x-id"] == "1.2"
        assert 850 <= int(headers["x-left"]) <= 900
        assert headers["x-only"] == "desk-b"
        assert headers["x-from"] == "shop"
        assert not any(n.startswith("rhubarbhollow") for n in headers)
        await mesh.close()

    run(main())


@pytest.mark.parametrize("entry", ["a", "b"])
@pytest.mark.parametrize(
    ("script", "status", "body"),
    [
        (answer_stray_first, 200, b"well"),
        (answer_until_close, 200, b"all of it"),
        (answer_without_id, 502, None),
        (refuse, 503, None),
        (misdirect, 503, None),
    ],
)
def test_unusual_answers_of_a_foreign_upstream(entry, script, status, body):
    """Check responses that only foreign upstreams send.

    They are matched by request id, may end with the connection, and
    refuse with a marked 503 or with 421.
    """

    async def main():
        mesh, upstream = await two_nodes(script)
        client = await mesh.client(entry)
        answer = await client.request("GET", "/a", b"", "x-id: 7")
        assert answer.status == status
        if body is not None:
            assert answer.body == body
        if status == 503:
            assert 0 < float(answer.headers["retry-after"]) < 1
        assert len(upstream.requests) == 1
        await mesh.close()

    run(main())


def test_a_leaving_upstream_refuses_calls_from_other_nodes():
    """Guard against admitting calls to an upstream that is leaving.

    Other nodes may not know yet that it leaves.
    """

    async def main():
        mesh, upstream = await two_nodes(answer_with_id)
        node = mesh.nodes["b"].node
        leaving = replace(node.local_port.upstream, is_leaving=True)
        node.set_local_upstream(leaving)
        client = await mesh.client("a")
        answer = await client.request("POST", "/a", b"x", "x-id: 8")
        assert answer.status == 503
        assert not upstream.requests
        await mesh.close()

    run(main())


def test_a_node_that_leaves_still_serves_and_asks_to_close():
    async def main():
        mesh, _upstream = await two_nodes(answer_with_id)
        client = await mesh.client("b")
        mesh.nodes["b"].node.begin_leaving(mesh.clock.monotonic() + 60)
        answer = await client.request("GET", "/a", b"", "x-id: 9")
        assert answer.status == 200
        assert answer.headers["connection"] == "close"
        await mesh.close()

    run(main())


class DyingUpstream(ScriptedUpstream):
    """Answer in halves that the end of the connection delimits.

    It dies after the first half as a killed process does: nothing
    listens any more, and the connections are closed in order.
    """

    def __init__(self, dies, has_sent_data=True):
        super().__init__(self.answer)
        self.dies = dies
        self.has_sent_data = has_sent_data
        self.half = asyncio.Event()
        self.may_go_on = asyncio.Event()

    async def answer(self, request, writer):
        head = f"HTTP/1.1 200 OK\r\nx-id: {request.headers['x-id']}\r\n\r\n"
        data = b"half" if self.has_sent_data else b""
        writer.write(head.encode() + data)
        await writer.drain()
        self.half.set()
        await self.may_go_on.wait()
        if self.dies:
            self._server.close()
        else:
            writer.write(b" and half")
        writer.close()


@pytest.mark.parametrize("entry", ["a", "b"])
@pytest.mark.parametrize("dies", [False, True])
@pytest.mark.parametrize("has_sent_data", [False, True])
@pytest.mark.parametrize("count", [1, 5])
def test_a_response_that_a_crash_ends_is_not_complete(
    entry, dies, has_sent_data, count
):
    """Guard against half of a response that looks like a whole one.

    Without a length, the end of the connection ends the response, and
    the kernel closes the connections of a killed process in order.
    """

    async def main():
        upstream = DyingUpstream(dies, has_sent_data)
        await upstream.start()
        mesh = Mesh(ROUTE, settings=SETTINGS)
        await mesh.add_node("a")
        await mesh.add_node("b", upstream)
        clients = [await mesh.client(entry) for _ in range(count)]
        calls = [
            asyncio.create_task(
                client.request("POST", "/a", b"", f"x-id: {number}")
            )
            for number, client in enumerate(clients)
        ]
        await wait_until(lambda: len(upstream.requests) == count)
        await upstream.half.wait()
        upstream.may_go_on.set()
        for answer in await asyncio.gather(*calls):
            if dies:
                assert answer.status == 502 or not answer.is_whole
            else:
                assert answer.is_whole
                whole = b"half and half" if has_sent_data else b" and half"
                assert (answer.status, answer.body) == (200, whole)
        await mesh.close()

    run(main())


def test_a_caller_may_leave_while_the_end_is_confirmed():
    """Guard against a response that ends after its call."""

    async def main():
        upstream = DyingUpstream(dies=False)
        await upstream.start()
        mesh = Mesh(ROUTE, settings=SETTINGS)
        node = await mesh.add_node("b", upstream)
        client = await mesh.client("b")
        call = asyncio.create_task(
            client.request("POST", "/a", b"", "x-id: 1")
        )
        await upstream.half.wait()
        upstream.may_go_on.set()
        await wait_until(lambda: upstream.opened == 2)
        call.cancel()
        client.close()
        port = node.node.local_port
        await wait_until(lambda: not port.gate.in_use)
        await mesh.close()

    run(main())

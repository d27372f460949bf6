"""Upstreams that repeat answers, or send bytes that are no answer."""

import asyncio
from dataclasses import replace

import pytest
from tests.standin.http_client import encode_call
from tests.standin.mesh import DEFAULT_ROUTE, Mesh, run, wait_until
from tests.standin.scripted_upstream import ScriptedUpstream, encode_answer

from rhubarbhollow_calls.http_dialect import Dialect
from rhubarbhollow_calls.http_limits import MAX_HEAD_BYTES, MAX_SKIPPED_BYTES
from rhubarbhollow_calls.io_settings import CallSettings

FOREIGN = CallSettings(
    dialect=Dialect(
        request_id=b"x-id",
        time_limit=b"x-left",
        upstream=b"x-only",
        origin=b"x-from",
        not_run=b"rhubarbhollow-not-run",
        is_foreign=True,
    ),
    origin=b"shop",
)
NATIVE = CallSettings()
WRITE = replace(DEFAULT_ROUTE, is_idempotent=False)
ENTRIES = pytest.mark.parametrize("entry", ["a", "b"], ids=["two", "one"])
DIALECTS = pytest.mark.parametrize(
    ("settings", "field"),
    [(NATIVE, "rhubarbhollow-attempt"), (FOREIGN, "x-id")],
    ids=["native", "foreign"],
)
NOT_RUN = "rhubarbhollow-not-run: true"
UNAVAILABLE = "503 Service Unavailable"
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
PIECE = b"y" * 16_384


class CopyingUpstream(ScriptedUpstream):
    """Write the first answer once more on its connection, if kept.

    ``moment`` is ``with``, ``idle`` or ``during``: in one write with
    the first answer, on the idle connection, or before the next answer.
    """

    def __init__(self, field, moment, *, echoes=True, is_refusal=False):
        super().__init__(self._answer, echoes=False)
        self.field = field
        self.moment = moment
        self.repeats_id = echoes
        self.is_refusal = is_refusal
        self.first = b""
        self.kept = None
        self.runs = []

    async def _answer(self, request, writer):
        if self.is_refusal and not self.first:
            data = self._encode(request, b"", NOT_RUN, status=UNAVAILABLE)
        else:
            self.runs.append(request.target)
            data = self._encode(request, request.target.encode())
        if not self.first:
            self.first = data
            self.kept = writer
            writer.write(data * 2 if self.moment == "with" else data)
            if self.moment == "idle":
                asyncio.get_running_loop().call_later(0.03, writer.write, data)
            return
        if self.moment == "during" and writer is self.kept:
            writer.write(self.first)
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(data)

    def _encode(self, request, body, *lines, status="200 OK"):
        if self.repeats_id:
            lines = (*lines, f"{self.field}: {request.headers[self.field]}")
        return encode_answer(body, *lines, status=status)


def faulty_test(upstream, check, settings, *routes, entry="a", others=0):
    async def main():
        await upstream.start()
        mesh = Mesh(*(routes or (DEFAULT_ROUTE,)), settings=settings)
        await mesh.add_node("a")
        await mesh.add_node("b", upstream)
        client = await mesh.client(entry)
        await check(mesh, client)
        await wait_until(
            lambda: not any(n.node.in_flight for n in mesh.nodes.values())
        )
        assert mesh.nodes["b"].node.local_port.gate.is_idle
        client.close()
        await mesh.close()

    run(main())


@ENTRIES
@DIALECTS
@pytest.mark.parametrize("echoes", [True, False])
@pytest.mark.parametrize("moment", ["with", "idle", "during"])
def test_a_second_copy_of_an_answer_reaches_no_other_caller(
    entry, settings, field, echoes, moment
):
    """Guard against the answer to one request reaching another.

    An upstream that repeats no id is answered on a connection of its
    own for each request; a foreign one without ids gets no success.
    """
    upstream = CopyingUpstream(field, moment, echoes=echoes)

    async def check(mesh, client):
        first = await client.get("/first", "x-id: 1")
        await asyncio.sleep(0.06)
        second = await client.get("/second", "x-id: 2")
        if settings is FOREIGN and not echoes:
            assert (first.status, second.status) == (502, 502)
            return
        assert first.body == b"/first"
        assert second.body in (b"/second", b"")
        assert second.status in (200, 502)
        if echoes or settings is NATIVE:
            assert (second.status, second.body) == (200, b"/second")

    faulty_test(upstream, check, settings, entry=entry)


@ENTRIES
@DIALECTS
@pytest.mark.parametrize("echoes", [True, False])
@pytest.mark.parametrize("moment", ["with", "idle", "during"])
@pytest.mark.parametrize("ids", [("x-id: 1", "x-id: 2"), ("x-id: 1",) * 2])
def test_a_second_copy_of_a_refusal_is_no_proof(
    entry, settings, field, echoes, moment, ids
):
    """Guard against "not run" for a request that runs.

    The second request may have the id of the first one: a caller that
    was refused may send it again as it was.
    """
    upstream = CopyingUpstream(field, moment, echoes=echoes, is_refusal=True)
    lines = [(one, one.replace("x-id", "rhubarbhollow-request-id"))
             for one in ids]  # fmt: skip

    async def check(mesh, client):
        first = await client.request("POST", "/first", b"x", *lines[0])
        assert first.status == 503
        await asyncio.sleep(0.06)
        second = await client.request("POST", "/second", b"x", *lines[1])
        assert upstream.runs == ["/second"]
        expected = 502 if settings is FOREIGN and not echoes else 200
        assert second.status == expected

    faulty_test(upstream, check, settings, WRITE, entry=entry)


async def endless_head(writer):
    writer.write(b"HTTP/1.1 200 OK\r\n")
    while True:
        yield b"x-%b: 1\r\n" % PIECE[:100]


async def endless_field(writer):
    writer.write(b"HTTP/1.1 200 OK\r\nx-long: ")
    while True:
        yield PIECE


async def endless_interim(writer):
    while True:
        yield b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100


async def endless_garbage(writer):
    while True:
        yield b"\x00\xff" * 8_192


async def endless_extension(writer):
    writer.write(CHUNKED + b"\r\n5;x=")
    while True:
        yield PIECE


async def endless_trailer(writer):
    writer.write(CHUNKED + b"\r\n0\r\nx-t: ")
    while True:
        yield PIECE


async def endless_other_body(writer):
    writer.write(
        CHUNKED + b"x-id: other\r\nrhubarbhollow-attempt: other\r\n\r\n"
    )
    while True:
        yield b"%x\r\n%b\r\n" % (len(PIECE), PIECE)


async def endless_other_answers(writer):
    lines = ("x-id: other", "rhubarbhollow-attempt: other")
    while True:
        yield encode_answer(b"z" * 100, *lines) * 50


@DIALECTS
@ENTRIES
@pytest.mark.parametrize(
    "source",
    [
        endless_head,
        endless_field,
        endless_interim,
        endless_garbage,
        endless_extension,
        endless_trailer,
        endless_other_body,
        endless_other_answers,
    ],
)
def test_bytes_without_end_are_cut_off(entry, settings, field, source):
    """Guard against reading what never becomes the answer.

    The connection ends long before the deadline, its slot is free, and
    the next request is served.
    """
    sent = 0

    async def script(request, writer):
        nonlocal sent
        if request.target == "/next":
            line = f"{field}: {request.headers[field]}"
            writer.write(encode_answer(b"fine", line))
            return
        async for data in source(writer):
            sent += len(data)
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(0)

    upstream = ScriptedUpstream(script, echoes=False)

    async def check(mesh, client):
        client.send(encode_call("GET", "/endless", b"", "x-id: 1"))
        answer = await client.read_answer()
        # A chunk extension or a trailer comes after the response head.
        assert answer.status == 502 or not answer.is_whole
        second = await mesh.client(entry)
        assert (await second.get("/next", "x-id: 2")).body == b"fine"
        # The rest of what was sent lies in the buffers of sockets.
        limit = MAX_HEAD_BYTES + MAX_SKIPPED_BYTES
        assert sent < limit + 8_000_000
        second.close()

    faulty_test(
        upstream, check, settings, replace(DEFAULT_ROUTE, attempts=1),
        entry=entry,
    )  # fmt: skip


async def endless_chunks(writer, line):
    writer.write(CHUNKED + line + b"\r\n\r\n")
    while True:
        yield b"%x\r\n%b\r\n" % (len(PIECE), PIECE)


async def endless_unframed_body(writer, line):
    writer.write(b"HTTP/1.1 200 OK\r\n" + line + b"\r\n\r\n")
    while True:
        yield PIECE


async def endless_counted_body(writer, line):
    length = b"content-length: 9000000000000000\r\n"
    writer.write(b"HTTP/1.1 200 OK\r\n" + length + line + b"\r\n\r\n")
    while True:
        yield PIECE


async def endless_chunk_size(writer, line):
    writer.write(CHUNKED + line + b"\r\n\r\n")
    while True:
        yield b"0" * len(PIECE)


async def endless_surplus(writer, line):
    writer.write(encode_answer(b"whole", line.decode()))
    while True:
        yield PIECE


@DIALECTS
@ENTRIES
@pytest.mark.parametrize(
    "source",
    [
        endless_chunks,
        endless_unframed_body,
        endless_counted_body,
        endless_chunk_size,
        endless_surplus,
    ],
)
def test_a_body_without_end_is_not_kept(entry, settings, field, source):
    """Guard against a node that runs out of memory by one upstream.

    The caller reads nothing of the body. The node stops reading, or
    ends the connection, until the caller closes; then it serves others.
    """
    sent = 0
    is_ended = asyncio.Event()

    async def script(request, writer):
        nonlocal sent
        line = f"{field}: {request.headers[field]}"
        if request.target == "/next":
            writer.write(encode_answer(b"fine", line))
            return
        try:
            async for data in source(writer, line.encode()):
                sent += len(data)
                writer.write(data)
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            is_ended.set()

    upstream = ScriptedUpstream(script, echoes=False)

    async def check(mesh, client):
        client.send(encode_call("GET", "/endless", b"", "x-id: 1"))
        await wait_until(lambda: sent)
        before = -1
        while before != sent and not is_ended.is_set():
            before = sent
            await asyncio.sleep(0.2)
            # What was sent lies in the buffers of sockets.
            assert sent < 24_000_000
        client.close()
        await asyncio.wait_for(is_ended.wait(), 5)
        second = await mesh.client(entry)
        assert (await second.get("/next", "x-id: 2")).body == b"fine"
        second.close()

    faulty_test(
        upstream, check, settings, replace(DEFAULT_ROUTE, attempts=1),
        entry=entry,
    )  # fmt: skip


STRAY = "HTTP/1.1 200 OK\r\n{id}\r\ncontent-length: 5\r\n\r\nstray"
NOT_INTERIM = [
    "HTTP/1.1 000 X\r\n\r\n",
    "HTTP/1.1 099 X\r\n\r\n",
    "HTTP/1.1 099 X\r\ncontent-length: {length}\r\n\r\n",
    "HTTP/1.1 104 X\r\ncontent-length: {length}\r\n\r\n",
    "HTTP/1.1 199 X\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n",
]


@DIALECTS
@ENTRIES
@pytest.mark.parametrize("start", NOT_INTERIM)
@pytest.mark.parametrize("is_split", [False, True])
def test_the_body_of_an_interim_answer_reaches_nobody(
    entry, settings, field, start, is_split
):
    """Guard against body bytes sent to the caller without a head."""

    async def script(request, writer):
        line = f"{field}: {request.headers[field]}"
        if request.target == "/next":
            writer.write(encode_answer(b"fine", line))
            return
        body = STRAY.format(id=line)
        head = start.format(length=len(body))
        writer.write(head.encode())
        if is_split:
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(body.encode())
        writer.close()

    upstream = ScriptedUpstream(script, echoes=False)

    async def check(mesh, client):
        calls = (
            encode_call("POST", target, b"x", f"x-id: {i}")
            for i, target in enumerate(("/faulty", "/next"))
        )
        client.send(b"".join(calls))
        answer = await client.read_answer()
        assert answer.status == 502
        assert answer.headers["rhubarbhollow-executed"] == "unknown"
        assert (await client.read_answer()).body == b"fine"

    faulty_test(upstream, check, settings, WRITE, entry=entry)


def encode_head_answer(target, line):
    return encode_answer(target.encode(), line).removesuffix(target.encode())


class HeadUpstream(ScriptedUpstream):
    """Write a copy of the answer to ``/first`` before any later one.

    The copy has ``body`` although the response to HEAD has none.
    """

    def __init__(self, field, head, body, *, is_split):
        super().__init__(self._answer, echoes=False)
        self._field = field
        self._first_head = head
        self._copied_body = body
        self._is_split = is_split
        self._copy = b""

    async def _answer(self, request, writer):
        line = f"{self._field}: {request.headers[self._field]}"
        if request.target == "/first":
            head = f"HTTP/1.1 {self._first_head}\r\n{line}\r\n\r\n"
            self._copy = head.encode() + self._copied_body
            body = b"" if request.method == "HEAD" else self._copied_body
            writer.write(head.encode() + body)
            return
        copy, self._copy = self._copy, b""
        own = encode_answer(request.target.encode(), line)
        if request.method == "HEAD":
            own = encode_head_answer(request.target, line)
        if copy and self._is_split:
            writer.write(copy)
            await writer.drain()
            await asyncio.sleep(0.01)
            writer.write(own)
        else:
            writer.write(copy + own)


@DIALECTS
@ENTRIES
@pytest.mark.parametrize("is_split", [False, True])
@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize(
    ("head", "body"),
    [
        ("200 OK\r\ncontent-length: 0", b""),
        ("200 OK\r\ncontent-length: 5", b"stray"),
        ("204 No Content", b""),
        ("304 Not Modified\r\ncontent-length: 5", b""),
    ],
)
def test_a_copy_of_an_answer_before_one_to_head_reaches_nobody(
    entry, settings, field, head, body, method, is_split
):
    """Guard against a call to HEAD that ends without any answer.

    Whether the copy has a body depends on a request that is over.
    """
    upstream = HeadUpstream(field, head, body, is_split=is_split)

    async def check(mesh, client):
        await client.request(method, "/first", b"", "x-id: 1")
        client.send(
            encode_call("HEAD", "/second", b"", "x-id: 2")
            + encode_call("POST", "/third", b"x", "x-id: 3")
        )
        second = await client.read_answer(is_for_head=True)
        if second.status == 200:
            length = second.headers["content-length"]
            assert length == str(len("/second"))
        else:
            assert second.status == 502
            assert second.headers["rhubarbhollow-executed"] == "unknown"
        third = await client.read_answer()
        assert (third.status, third.body) == (200, b"/third")

    faulty_test(upstream, check, settings, WRITE, entry=entry)


@DIALECTS
@ENTRIES
@pytest.mark.parametrize("is_split", [False, True])
def test_a_copy_of_an_answer_to_head_takes_no_bytes_of_the_next(
    entry, settings, field, is_split
):
    """Guard against a body that is read from its middle as an answer.

    The copy declares a length as long as the head that follows it.
    """

    async def script(request, writer):
        line = f"{field}: {request.headers[field]}"
        own = encode_answer(STRAY.format(id=line).encode(), line)
        length = own.index(b"\r\n\r\n") + 4
        if request.method == "HEAD":
            head = f"HTTP/1.1 200 OK\r\n{line}\r\ncontent-length: {length}"
            copies.append(f"{head}\r\n\r\n".encode())
            writer.write(copies[0])
            return
        if copies:
            writer.write(copies.pop())
        if is_split:
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(own)

    copies = []
    upstream = ScriptedUpstream(script, echoes=False)

    async def check(mesh, client):
        first = await client.request("HEAD", "/first", b"", "x-id: 1")
        assert first.status == 200
        second = await client.get("/second", "x-id: 2")
        assert second.status == 502
        third = await client.get("/third", "x-id: 3")
        assert third.status == 200
        assert third.body.endswith(b"\r\n\r\nstray")

    faulty_test(upstream, check, settings, WRITE, entry=entry)

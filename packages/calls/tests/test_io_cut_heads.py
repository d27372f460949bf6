"""Upstreams and nodes that stop in the middle of an answer's head."""

import asyncio
import socket
import struct
from dataclasses import replace

import pytest
from tests.standin.http_client import encode_call
from tests.standin.mesh import DEFAULT_ROUTE, Mesh, run, wait_until
from tests.standin.scripted_upstream import ScriptedUpstream, encode_answer

from rhubarbhollow_calls import io_caller_exchange
from rhubarbhollow_calls.endpoint import Endpoint, EndpointState
from rhubarbhollow_calls.http_dialect import Dialect
from rhubarbhollow_calls.io_settings import CallSettings

CONNECTIONS = 100
# Requests at once; more could exceed the backlog of a listener.
BATCH = 60
NATIVE = CallSettings(
    peer_connections=CONNECTIONS, connection_waiters=CONNECTIONS
)
FOREIGN = replace(
    NATIVE,
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
DIALECTS = pytest.mark.parametrize(
    "settings", [NATIVE, FOREIGN], ids=["native", "foreign"]
)
ENTRIES = pytest.mark.parametrize("entry", ["a", "b"], ids=["two", "one"])
READ = replace(DEFAULT_ROUTE, attempts=1)
WRITE = replace(DEFAULT_ROUTE, is_idempotent=False)
NO_LINGER = struct.pack("ii", 1, 0)

UNAVAILABLE = "HTTP/1.1 503 Service Unavailable\r\n"
OK = "HTTP/1.1 200 OK\r\n{id}\r\n"
# Method, interim answers, head and body. The id is the first field.
ANSWERS = {
    "sized": ("GET", "", OK + "content-length: 12\r\n\r\n", "twelve bytes"),
    "empty": ("GET", "", OK + "content-length: 0\r\n\r\n", ""),
    "chunked": (
        "GET",
        "",
        OK + "transfer-encoding: chunked\r\n\r\n",
        "c\r\ntwelve bytes\r\n0\r\n\r\n",
    ),
    "until-close": ("GET", "", OK + "x-last: 1\r\n\r\n", "twelve bytes"),
    "after-100": (
        "GET",
        "HTTP/1.1 100 Continue\r\n\r\n",
        OK + "content-length: 12\r\n\r\n",
        "twelve bytes",
    ),
    "after-103": (
        "GET",
        "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n",
        OK + "x-last: 1\r\n\r\n",
        "twelve bytes",
    ),
    "head": ("HEAD", "", OK + "content-length: 12\r\n\r\n", ""),
    "204": ("GET", "", "HTTP/1.1 204 No Content\r\n{id}\r\n\r\n", ""),
    "304": (
        "GET",
        "",
        "HTTP/1.1 304 Not Modified\r\n{id}\r\ncontent-length: 12\r\n\r\n",
        "",
    ),
    "not-run": (
        "GET",
        "",
        UNAVAILABLE
        + "{id}\r\nrhubarbhollow-not-run: true\r\ncontent-length: 0\r\n\r\n",
        "",
    ),
}
KINDS = pytest.mark.parametrize("kind", ANSWERS)
# The longest id line of these tests.
LONGEST_ID = "rhubarbhollow-attempt: fff"


@pytest.fixture(autouse=True)
def no_delay(monkeypatch):
    """Refuse without the delay that follows a broken connection."""
    monkeypatch.setattr(io_caller_exchange, "BROKEN_REFUSAL_DELAY_SECONDS", 0)


def cut_points(kind):
    """Return the numbers of bytes to leave out, up to all of them."""
    _, interim, head, _ = ANSWERS[kind]
    return range(1, len((interim + head).format(id=LONGEST_ID)) + 1)


def id_line(request):
    names = ("rhubarbhollow-attempt", "x-id")
    name = next(name for name in names if name in request.headers)
    return f"{name}: {request.headers[name]}"


def end_connection(writer, how):
    """Close after what was written (``close``) or reset at once."""
    if how == "reset":
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        writer.transport.abort()
    else:
        writer.close()


class CuttingUpstream(ScriptedUpstream):
    """Leave out the last n bytes of a head, for ``/cut/<how>/<n>``.

    Any other request is answered with its target.
    """

    def __init__(self, kind):
        super().__init__(self._answer, echoes=False)
        self._kind = kind
        self._used = set()
        self.cuts_on_kept = 0
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    async def _answer(self, request, writer):
        if not request.target.startswith("/cut/"):
            self._used.add(writer)
            await self.may_answer.wait()
            await answer_whole(request, writer)
            return
        self.cuts_on_kept += writer in self._used
        how, left_out = request.target.split("/")[2:4]
        _, interim, head, _ = ANSWERS[self._kind]
        data = (interim + head).format(id=id_line(request)).encode()
        writer.write(data[: max(0, len(data) - int(left_out))])
        await writer.drain()
        end_connection(writer, how)

    async def answer_together(self, calls, count):
        """Answer ``count`` calls, once each has its connection."""
        self.may_answer.clear()
        goal = len(self.requests) + count
        task = asyncio.ensure_future(calls)
        await wait_until(lambda: len(self.requests) >= goal)
        self.may_answer.set()
        return await task

    def runs_of_cuts(self):
        targets = [r.target for r in self.requests]
        return sorted(t for t in targets if t.startswith("/cut/"))


async def answer_whole(request, writer):
    body = b"" if request.method == "HEAD" else request.target.encode()
    writer.write(encode_answer(body, id_line(request)))


async def answer_healthily(request, writer):
    writer.write(encode_answer(b"healthy", id_line(request)))


def cut_test(check, upstream, settings, *routes, others=()):
    """Run ``check`` on node b with the upstream, and on others."""

    async def main():
        mesh = Mesh(*routes, settings=settings)
        await mesh.add_node("a")
        for name, one in (("b", upstream), *others):
            await one.start()
            await mesh.add_node(
                name, one, slots=CONNECTIONS, connections=CONNECTIONS
            )
        await check(mesh)
        await wait_until(
            lambda: not any(n.node.in_flight for n in mesh.nodes.values())
        )
        assert mesh.nodes["b"].node.local_port.gate.is_idle
        await mesh.close()

    run(main())


async def call_all(mesh, upstream, entry, method, targets, *, is_kept=False):
    """Send each target on a connection of its own, many at once.

    With ``is_kept`` another request goes before it on each connection,
    and a third one after it.
    """
    answers = []
    for start in range(0, len(targets), BATCH):
        batch = targets[start : start + BATCH]
        clients = [await mesh.client(entry) for _ in batch]

        def call(stage, targets, clients=clients):
            return asyncio.gather(
                *(
                    client.request(
                        method, target, b"", f"x-id: {stage}{target}/{i}"
                    )
                    for i, (client, target) in enumerate(
                        zip(clients, targets, strict=True)
                    )
                )
            )

        own = [f"/own/{entry}{start + i}" for i in range(len(batch))]
        if is_kept:
            calls = call("first", own)
            assert_own(
                method, own, await upstream.answer_together(calls, len(own))
            )
        answers += await call("", batch)
        if is_kept:
            assert_own(method, own, await call("last", own))
        for client in clients:
            client.close()
    return answers


def assert_own(method, targets, answers):
    for target, answer in zip(targets, answers, strict=True):
        body = b"" if method == "HEAD" else target.encode()
        assert (answer.status, answer.body) == (200, body)


def assert_unknown(answer):
    assert answer.status == 502
    assert answer.headers["rhubarbhollow-executed"] == "unknown"
    assert answer.is_whole


@DIALECTS
@KINDS
@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize(
    ("entry", "is_kept"),
    [("b", False), ("a", True)],
    ids=["one-fresh", "two-kept"],
)
def test_an_answer_cut_in_its_head_is_no_answer(
    settings, kind, how, entry, is_kept
):
    """Guard against a success, or "not run", for a head cut short."""
    upstream = CuttingUpstream(kind)
    method = ANSWERS[kind][0]
    targets = [f"/cut/{how}/{n}" for n in cut_points(kind)]

    async def check(mesh):
        for answer in await call_all(
            mesh, upstream, entry, method, targets, is_kept=is_kept
        ):
            assert_unknown(answer)
        assert upstream.runs_of_cuts() == sorted(targets)
        assert upstream.cuts_on_kept == (len(targets) if is_kept else 0)

    cut_test(check, upstream, settings, WRITE)


@DIALECTS
@KINDS
@pytest.mark.parametrize(
    ("route", "status"), [(DEFAULT_ROUTE, 200), (WRITE, 502)]
)
def test_a_head_cut_short_is_tried_elsewhere_only_if_safe(
    settings, kind, route, status
):
    upstream = CuttingUpstream(kind)
    healthy = ScriptedUpstream(answer_healthily, echoes=False)
    targets = [f"/cut/close/{n}" for n in cut_points(kind)]

    def prefer_b(mesh, selector):
        choose = selector.choose

        def choose_b_first(service, excluded, profile=None):
            if "desk-b" not in excluded:
                return mesh.endpoints["desk-b"]
            return choose(service, excluded)

        selector.choose = choose_b_first

    async def check(mesh):
        prefer_b(mesh, mesh.nodes["a"].node.selector)
        answers = await call_all(mesh, upstream, "a", "GET", targets)
        assert {answer.status for answer in answers} == {status}
        if status == 502:
            for answer in answers:
                assert_unknown(answer)
            assert not healthy.requests
        else:
            assert {answer.body for answer in answers} == {b"healthy"}
            assert len(healthy.requests) == len(targets)
        assert upstream.runs_of_cuts() == sorted(targets)

    cut_test(check, upstream, settings, route, others=[("c", healthy)])


@DIALECTS
@ENTRIES
@KINDS
def test_a_cut_head_in_a_pipeline_keeps_the_order(settings, entry, kind):
    """Guard against the next answer in the place of the cut one."""
    upstream = CuttingUpstream(kind)
    points = cut_points(kind)

    async def check(mesh):
        client = await mesh.client(entry)
        for n in points:
            targets = (f"/before/{n}", f"/cut/close/{n}", f"/after/{n}")
            client.send(
                b"".join(
                    encode_call("GET", target, b"", f"x-id: {target}")
                    for target in targets
                )
            )
        for n in points:
            before = await client.read_answer()
            assert (before.status, before.body) == (200, b"/before/%d" % n)
            assert_unknown(await client.read_answer())
            after = await client.read_answer()
            assert (after.status, after.body) == (200, b"/after/%d" % n)
        client.close()

    cut_test(check, upstream, settings, READ)


class SurplusUpstream(ScriptedUpstream):
    """Write a part of another answer's head after each answer.

    ``/cut/<how>/<n>`` leaves out its last n bytes and ends the
    connection, or keeps it with the ``how`` of ``keep``.
    """

    def __init__(self, *, is_copy):
        super().__init__(self._answer, echoes=False)
        self._is_copy = is_copy

    async def _answer(self, request, writer):
        how, left_out = request.target.split("/")[2:4]
        line = id_line(request)
        own = encode_answer(request.target.encode(), line)
        if not self._is_copy:
            line = f"{line.partition(':')[0]}: other"
        head = ANSWERS["sized"][2].format(id=line).encode()
        writer.write(own + head[: max(0, len(head) - int(left_out))])
        await writer.drain()
        if how != "keep":
            end_connection(writer, how)


@DIALECTS
@ENTRIES
@pytest.mark.parametrize("is_copy", [True, False], ids=["copy", "other"])
@pytest.mark.parametrize("how", ["keep", "close"])
def test_a_cut_head_after_an_answer_reaches_nobody(
    settings, entry, is_copy, how
):
    """Guard against taking the rest of a connection for an answer."""
    upstream = SurplusUpstream(is_copy=is_copy)

    async def check(mesh):
        client = await mesh.client(entry)
        for n in cut_points("sized"):
            target = f"/cut/{how}/{n}"
            answer = await client.get(target, f"x-id: {n}")
            assert (answer.status, answer.body) == (200, target.encode())
            assert answer.is_whole
        assert len(upstream.requests) == len(cut_points("sized"))
        client.close()

    cut_test(check, upstream, settings, WRITE)


# What another node answers: an upstream's response or a refusal.
PEER_OK = "HTTP/1.1 200 OK\r\nx-own: 1\r\n"
PEER_END = "rhubarbhollow-position: 7\r\n\r\n"
PEER_ANSWERS = {
    "sized": PEER_OK + "content-length: 12\r\n" + PEER_END,
    "empty": PEER_OK + "content-length: 0\r\n" + PEER_END,
    "chunked": PEER_OK + "transfer-encoding: chunked\r\n" + PEER_END,
    "no-content": "HTTP/1.1 204 No Content\r\n" + PEER_END,
    "not-run": UNAVAILABLE
    + "rhubarbhollow-executed: no\r\nrhubarbhollow-refusal: queue_full\r\n"
    "content-length: 0\r\n" + PEER_END,
}


class EndingNode(ScriptedUpstream):
    """A peer port that ends n bytes before the end of a head."""

    def __init__(self, kind):
        super().__init__(self._answer, echoes=False)
        self._head = PEER_ANSWERS[kind].encode()

    async def _answer(self, request, writer):
        if not request.target.startswith("/cut/"):
            body = request.target.encode()
            line = PEER_END.partition("\r\n")[0]
            writer.write(encode_answer(body, line))
            return
        how, left_out = request.target.split("/")[2:4]
        writer.write(self._head[: -int(left_out)])
        await writer.drain()
        end_connection(writer, how)


@DIALECTS
@pytest.mark.parametrize("kind", PEER_ANSWERS)
@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_node_that_ends_in_a_head_has_not_answered(settings, kind, how):
    """Guard against a success, or "not run", from a node that ended."""
    ending = EndingNode(kind)

    async def main():
        await ending.start()
        mesh = Mesh(WRITE, settings=settings)
        mesh.endpoints["desk-x"] = Endpoint(
            "desk-x", "desk", "here", "x", "127.0.0.1", ending.port, 9,
            EndpointState.UP, 0, -100.0,
        )  # fmt: skip
        await mesh.add_node("a")
        client = await mesh.client("a")
        for n in range(1, len(PEER_ANSWERS[kind]) + 1):
            client.send(
                b"".join(
                    encode_call("GET", target, b"", f"x-id: {target}")
                    for target in (f"/own/{n}", f"/cut/{how}/{n}")
                )
            )
            own = await client.read_answer()
            assert (own.status, own.body) == (200, b"/own/%d" % n)
            assert_unknown(await client.read_answer())
        client.close()
        await wait_until(lambda: not mesh.nodes["a"].node.in_flight)
        await mesh.close()

    run(main())

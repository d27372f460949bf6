"""Seeded runs of many callers against faulty upstreams."""

import asyncio
import random
from collections import Counter
from dataclasses import replace

import pytest
from tests.standin.claims import LedgerClaims
from tests.standin.http_client import encode_call
from tests.standin.mesh import DEFAULT_ROUTE, Mesh, run, wait_until
from tests.standin.scripted_upstream import ScriptedUpstream, encode_answer

from rhubarbhollow_calls.call_priority import CallPriority

ROUTES = (
    replace(DEFAULT_ROUTE, attempts=3, timeout_ms=600_000),
    replace(
        DEFAULT_ROUTE,
        name="once",
        prefix="/once",
        attempts=3,
        timeout_ms=600_000,
        is_idempotent=False,
        priority=CallPriority.BULK,
    ),
)
CALLERS = 12
CALLS_EACH = 40


class Run:
    """Count the runs of each request and check answers against them."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.runs = Counter()
        self.answers = Counter()

    def expected(self, name):
        return name * (1 + int(name[-2:]) * 40)

    async def script(self, request, writer):
        name = request.target.rpartition("/")[2]
        choice = self.random.random()
        for _ in range(self.random.randrange(3)):
            await asyncio.sleep(0)
        if choice < 0.08:
            lines = ("rhubarbhollow-not-run: true",)
            writer.write(encode_answer(b"", *lines, status="503 X"))
            return
        self.runs[name] += 1
        body = self.expected(name).encode()
        whole = encode_answer(body)
        if choice < 0.14:
            writer.close()
        elif choice < 0.20:
            writer.write(whole[: self.random.randrange(1, len(whole))])
            await writer.drain()
            writer.close()
        elif choice < 0.26:
            writer.write(whole + b"HTTP/1.1 200 OK\r\n")
        elif choice < 0.45:
            await self.write_chunked(writer, body)
        else:
            writer.write(whole)

    async def write_chunked(self, writer, body):
        writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        while body:
            size = self.random.randrange(1, 2_000)
            part, body = body[:size], body[size:]
            writer.write(b"%x\r\n%b\r\n" % (len(part), part))
            await writer.drain()
            await asyncio.sleep(0)
        writer.write(b"0\r\n\r\n")

    async def call_often(self, mesh, caller):
        node = self.random.choice("abc")
        client = await mesh.client(node)
        for number in range(CALLS_EACH):
            count = self.random.choice((1, 1, 3))
            names = [
                f"{caller}-{number}-{i}-{self.random.randrange(10, 99)}"
                for i in range(count)
            ]
            prefix = self.random.choice(("/any", "/once", "/once"))
            has_key = prefix == "/once" and self.random.random() < 0.5
            for name in names:
                body = b"b" * self.random.choice((0, 0, 10, 30_000))
                key = (f"idempotency-key: {name}",) if has_key else ()
                client.send(
                    encode_call("POST", f"{prefix}/{name}", body, *key)
                )
            if self.random.random() < 0.02:
                # Let the deadline of every call in flight pass.
                await asyncio.sleep(0)
                mesh.advance(700)
            if self.random.random() < 0.08:
                client.close()
                client = await mesh.client(node)
                continue
            for name in names:
                answer = await self.read(client, name)
                if answer is None or "connection" in answer.headers:
                    client.close()
                    client = await mesh.client(node)
                    break

    async def read(self, client, name):
        try:
            answer = await client.read_answer()
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        executed = answer.headers.get("rhubarbhollow-executed")
        self.answers[(answer.status, executed, answer.is_whole)] += 1
        if not answer.is_whole:
            return None
        if answer.status == 200:
            assert answer.body.decode() == self.expected(name)
            assert self.runs[name]
        elif executed == "no":
            assert not self.runs[name]
        else:
            assert executed == "unknown"
        return answer


@pytest.mark.parametrize("seed", range(4))
def test_answers_are_whole_and_runs_are_counted(seed):
    state = run_calls(seed)
    assert state.answers[(200, None, True)] > 100
    ends = {executed for _, executed, _ in state.answers}
    assert ends >= {"no", "unknown"}


def run_calls(seed):
    """Make seeded calls, check each answer and count the runs."""
    state = Run(seed)

    async def main():
        mesh = Mesh(*ROUTES, claims=LedgerClaims())
        upstreams = [ScriptedUpstream(state.script) for _ in "bc"]
        await mesh.add_node("a")
        for name, upstream in zip("bc", upstreams, strict=True):
            await upstream.start()
            await mesh.add_node(name, upstream, slots=3)
        async with asyncio.TaskGroup() as group:
            for caller in range(CALLERS):
                group.create_task(state.call_often(mesh, caller))
        nodes = [member.node for member in mesh.nodes.values()]
        await wait_until(lambda: not any(node.in_flight for node in nodes))
        for node in nodes:
            port = node.local_port
            assert port is None or port.gate.is_idle
            assert not any(
                e.in_flight for e in node.selector._by_name.values()
            )
        once = {
            request.target.rpartition("/")[2]
            for upstream in upstreams
            for request in upstream.requests
            if request.target.startswith("/once")
        }
        assert max(state.runs[name] for name in once) == 1
        await mesh.close()

    run(main())
    return state

"""Retries and refusals of calls that failed."""

import asyncio
from dataclasses import replace

import pytest
from tests.standin.http_client import encode_call
from tests.standin.mesh import DEFAULT_ROUTE, Mesh, run, wait_until
from tests.standin.scripted_upstream import (
    ScriptedUpstream,
    echo,
    encode_answer,
)

from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.http_limits import MAX_REPLAY_BYTES
from rhubarbhollow_calls.io_position import PositionCheck
from rhubarbhollow_calls.io_snapshot import Snapshot
from rhubarbhollow_calls.quarantine_message import CrashReport
from rhubarbhollow_calls.route_table import RouteTable

IDEMPOTENT = DEFAULT_ROUTE
NON_IDEMPOTENT = replace(DEFAULT_ROUTE, is_idempotent=False)


async def shed(request, writer):
    lines = ("rhubarbhollow-not-run: true",)
    writer.write(encode_answer(b"full", *lines, status="503 Full"))


async def fail(request, writer):
    writer.write(encode_answer(b"broken", status="503 Broken"))


async def close_without_answer(request, writer):
    writer.close()


async def close_after_head(request, writer):
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n")
    await writer.drain()
    writer.close()


async def break_connection(request, writer):
    raise ConnectionError


class Setup:
    """A mesh in which node b's upstream follows the failure script.

    Node a has no upstream, and that of node c is healthy.
    """

    def __init__(self, *routes, script=echo, only_b=False, **options):
        self.mesh = Mesh(*routes, **options)
        self.failing = ScriptedUpstream(script)
        self.healthy = None if only_b else ScriptedUpstream(echo)

    async def __aenter__(self):
        await self.failing.start()
        await self.mesh.add_node("a")
        await self.mesh.add_node("b", self.failing)
        if self.healthy is not None:
            await self.healthy.start()
            await self.mesh.add_node("c", self.healthy)
        for member in self.mesh.nodes.values():
            self._prefer_b(member.node.selector)
        return self

    async def __aexit__(self, kind, *_):
        if kind is not None:
            await self.mesh.close()
            return
        nodes = [member.node for member in self.mesh.nodes.values()]
        await wait_until(lambda: not any(node.in_flight for node in nodes))
        for node in nodes:
            port = node.local_port
            assert port is None or port.gate.is_idle
            assert not any(
                e.in_flight for e in node.selector._by_name.values()
            )
        await self.mesh.close()

    def _prefer_b(self, selector):
        choose = selector.choose

        def choose_b_first(service, excluded, profile=None):
            if "desk-b" not in excluded:
                return self.mesh.endpoints["desk-b"]
            return choose(service, excluded)

        selector.choose = choose_b_first


FAILURES = [
    # Script, route, status for the caller, "executed" field, runs on c.
    (echo, NON_IDEMPOTENT, 200, None, 0),
    (shed, IDEMPOTENT, 200, None, 1),
    (shed, NON_IDEMPOTENT, 200, None, 1),
    (fail, IDEMPOTENT, 503, None, 0),
    (fail, NON_IDEMPOTENT, 503, None, 0),
    (close_without_answer, IDEMPOTENT, 200, None, 1),
    (close_without_answer, NON_IDEMPOTENT, 502, "unknown", 0),
    (close_after_head, IDEMPOTENT, 200, None, 1),
    (close_after_head, NON_IDEMPOTENT, 502, "unknown", 0),
]


@pytest.mark.parametrize("entry", ["a", "b", "c"])
@pytest.mark.parametrize("case", range(len(FAILURES)))
def test_only_safe_failures_are_retried(entry, case):
    """Guard against running a non-idempotent request twice.

    A request that may have run is retried only if it is idempotent.
    """
    script, route, status, executed, runs = FAILURES[case]

    async def main():
        async with Setup(route, script=script) as setup:
            client = await setup.mesh.client(entry)
            answer = await client.request("POST", "/", b"hello")
            assert answer.status == status
            assert answer.headers.get("rhubarbhollow-executed") == executed
            assert len(setup.failing.requests) == 1
            assert len(setup.healthy.requests) == runs
            if runs:
                assert setup.healthy.requests[0].body == b"hello"
                upstream = answer.headers["rhubarbhollow-upstream"]
                assert upstream == "desk-c"

    run(main())


@pytest.mark.parametrize("entry", ["a", "b", "c"])
@pytest.mark.parametrize(
    ("route", "status", "runs"),
    [
        (replace(IDEMPOTENT, latency_seconds=2.0), 200, 1),
        (replace(NON_IDEMPOTENT, latency_seconds=2.0), 503, 0),
        (replace(IDEMPOTENT, latency_seconds=2.0, attempts=1), 503, 0),
    ],
)
def test_an_early_failure_of_an_idempotent_call_is_retried(
    entry, route, status, runs
):
    """Guard against upstreams that fail only some of their requests.

    An early 5xx response is retried if the request is idempotent and
    attempts remain.
    """

    async def main():
        async with Setup(route, script=fail) as setup:
            client = await setup.mesh.client(entry)
            answer = await client.request("GET", "/", b"")
            assert answer.status == status
            assert len(setup.failing.requests) == 1
            assert len(setup.healthy.requests) == runs

    run(main())


@pytest.mark.parametrize("entry", ["a", "b"])
@pytest.mark.parametrize(
    ("script", "route", "kind", "executed"),
    [
        (shed, IDEMPOTENT, "shed", "no"),
        (shed, NON_IDEMPOTENT, "shed", "no"),
        (close_without_answer, IDEMPOTENT, "outcome_unknown", "unknown"),
    ],
)
def test_a_failure_without_another_upstream_has_its_refusal_kind(
    entry, script, route, kind, executed
):
    async def main():
        async with Setup(route, script=script, only_b=True) as setup:
            client = await setup.mesh.client(entry)
            answer = await client.get("/")
            assert answer.headers["rhubarbhollow-refusal"] == kind
            assert answer.headers["rhubarbhollow-executed"] == executed
            assert len(setup.failing.requests) == 1

    run(main())


def test_not_run_is_never_reported_after_an_attempt_that_may_have_run():
    """Guard against a false statement that a request did not run.

    The first attempt may have run it, the second provably did not.
    """

    async def main():
        async with Setup(IDEMPOTENT, script=close_without_answer) as setup:
            setup.healthy._script = shed
            client = await setup.mesh.client("a")
            answer = await client.get("/")
            assert answer.headers["rhubarbhollow-refusal"] == "shed"
            assert answer.headers["rhubarbhollow-executed"] == "unknown"

    run(main())


@pytest.mark.parametrize("entry", ["a", "b"])
def test_a_call_to_a_crashed_upstream_is_retried_as_not_written(entry):
    """Check that a non-idempotent call is retried elsewhere.

    No connection was opened, so nothing was written.
    """

    async def main():
        async with Setup(NON_IDEMPOTENT) as setup:
            await setup.failing.crash()
            client = await setup.mesh.client(entry)
            answer = await client.request("POST", "/", b"hello")
            assert answer.body == b"POST / hello"

    run(main())


@pytest.mark.parametrize("entry", ["a", "b"])
def test_a_client_that_leaves_behind_a_long_body_leaves_the_queue(entry):
    """Guard against running requests of clients that have left.

    While the body was not read to its end, the close behind it was not
    seen, and the request was sent once a slot became free.
    """

    async def script(request, writer):
        await release.wait()
        await echo(request, writer)

    async def main():
        async with Setup(NON_IDEMPOTENT, script=script, only_b=True) as setup:
            mesh = setup.mesh
            gate = mesh.nodes["b"].node.local_port.gate
            gate.resize(1)
            [first] = await start_calls(setup, "/1", entry=entry)
            await wait_until(lambda: setup.failing.requests)
            leaving = await mesh.client(entry)
            body = b"x" * (2 * MAX_REPLAY_BYTES)
            leaving.send(encode_call("POST", "/2", body))
            await wait_until(lambda: gate.waiting == 1)
            leaving.close()
            await wait_until(lambda: gate.waiting == 0)
            budgets = [each.node.body_budget for each in mesh.nodes.values()]
            assert [budget.used for budget in budgets] == [0] * len(budgets)
            release.set()
            assert (await first.read_answer()).status == 200
            assert len(setup.failing.requests) == 1

    release = asyncio.Event()
    run(main())


def test_a_body_above_the_replay_limit_is_not_retried():
    async def main():
        async with Setup(IDEMPOTENT, script=close_without_answer) as setup:
            client = await setup.mesh.client("a")
            body = b"x" * MAX_REPLAY_BYTES
            assert (await client.request("POST", "/", body)).status == 200
            answer = await client.request("POST", "/", body + b"x" * 1_000_000)
            assert answer.headers["rhubarbhollow-executed"] == "unknown"
            assert len(setup.healthy.requests) == 1

    run(main())


async def start_calls(setup, *targets, entry="a"):
    clients = [await setup.mesh.client(entry) for _ in targets]
    for client, target in zip(clients, targets, strict=True):
        client.send(encode_call("GET", target, b""))
    return clients


LOOKUP = replace(DEFAULT_ROUTE, attempts=1)
BULK = replace(LOOKUP, name="bulk", prefix="/bulk", priority=CallPriority.BULK)


@pytest.mark.parametrize("entry", ["a", "b"])
def test_slots_limit_running_calls_and_lookups_go_first(entry):
    running = []
    most = 0

    async def script(request, writer):
        nonlocal most
        running.append(request.target)
        most = max(most, len(running))
        await steps.acquire()
        running.remove(request.target)
        order.append(request.target)
        await echo(request, writer)

    async def main():
        async with Setup(LOOKUP, BULK, script=script, only_b=True) as setup:
            gate = setup.mesh.nodes["b"].node.local_port.gate
            gate.resize(1)
            clients = await start_calls(setup, "/first", entry=entry)
            await wait_until(lambda: running)
            for waiting, target in enumerate(("/bulk/1", "/2", "/3"), 1):
                clients += await start_calls(setup, target, entry=entry)
                await wait_until(lambda n=waiting: gate.waiting == n)
            for _ in clients:
                steps.release()
            for client in clients:
                assert (await client.read_answer()).status == 200
            assert order == ["/first", "/2", "/3", "/bulk/1"]
            assert most == 1

    order = []
    steps = asyncio.Semaphore(0)
    run(main())


@pytest.mark.parametrize("entry", ["a", "b"])
def test_waiting_calls_time_out_as_not_run_and_leave_the_queue(entry):
    """Guard against calls that stay queued after their end.

    One call passes its deadline in the queue and another is cancelled.
    """

    async def script(request, writer):
        await release.wait()
        await echo(request, writer)

    async def main():
        async with Setup(NON_IDEMPOTENT, script=script, only_b=True) as setup:
            gate = setup.mesh.nodes["b"].node.local_port.gate
            gate.resize(1)
            [first] = await start_calls(setup, "/1", entry=entry)
            await wait_until(lambda: setup.failing.requests)
            others = await start_calls(setup, "/2", "/3", entry=entry)
            await wait_until(lambda: gate.waiting == 2)
            others[1].close()
            await wait_until(lambda: gate.waiting == 1)
            setup.mesh.advance(5.001)
            answer = await others[0].read_answer()
            assert answer.status == 504
            assert answer.headers["rhubarbhollow-executed"] == "no"
            setup.mesh.advance(1)
            answer = await first.read_answer()
            assert answer.headers["rhubarbhollow-executed"] == "unknown"
            release.set()

    release = asyncio.Event()
    run(main())


def test_a_drain_finishes_calls_and_refuses_new_ones_as_not_run():
    async def script(request, writer):
        await release.wait()
        await echo(request, writer)

    async def main():
        async with Setup(NON_IDEMPOTENT, script=script) as setup:
            node = setup.mesh.nodes["b"].node
            idle = await setup.mesh.client("b")
            [remote] = await start_calls(setup, "/1", entry="a")
            [local] = await start_calls(setup, "/2", entry="b")
            await wait_until(lambda: len(setup.failing.requests) == 2)
            node.begin_drain()
            answer = await idle.get("/3")
            assert answer.headers["rhubarbhollow-refusal"] == "draining"
            assert answer.headers["rhubarbhollow-executed"] == "no"
            assert answer.headers["connection"] == "close"
            # Another node retries the refused call on upstream c.
            client = await setup.mesh.client("a")
            answer = await client.get("/4")
            assert answer.headers["rhubarbhollow-upstream"] == "desk-c"
            release.set()
            assert (await remote.read_answer()).body == b"GET /1 "
            answer = await local.read_answer()
            assert answer.body == b"GET /2 "
            assert answer.headers["connection"] == "close"
            assert await local.read_to_end() == b""

    release = asyncio.Event()
    run(main())


def test_a_request_that_crashes_two_upstreams_is_quarantined():
    """Guard against a request that crashes upstreams one by one."""

    async def main():
        async with Setup(NON_IDEMPOTENT) as setup:
            mesh = setup.mesh
            client = await mesh.client("a")
            for name, upstream in (("b", setup.failing), ("c", setup.healthy)):
                upstream._script = make_crash_script(upstream)
                client = await mesh.client(name)
                mesh.nodes[name].node.selector.choose = (
                    lambda service, excluded, profile=None, name=name: (
                        None if excluded else mesh.endpoints[f"desk-{name}"]
                    )
                )
                reports = len(mesh.published)
                answer = await client.request("POST", "/", b"CRASH")
                assert answer.headers["rhubarbhollow-executed"] == "unknown"
                await wait_until(lambda n=reports: len(mesh.published) > n)
                for member in mesh.nodes.values():
                    for message in mesh.published:
                        member.node._quarantine.merge(message)
            assert {type(m) for m in mesh.published} == {CrashReport}
            runs = len(setup.healthy.requests)
            port = setup.healthy.port_before
            setup.healthy._script = echo
            await setup.healthy.start(port)
            answer = await client.request("POST", "/", b"CRASH")
            assert answer.status == 403
            assert answer.headers["rhubarbhollow-executed"] == "no"
            assert (await client.request("POST", "/", b"fine")).status == 200
            assert len(setup.healthy.requests) == runs + 1

    def make_crash_script(upstream):
        async def script(request, writer):
            upstream.port_before = upstream.port
            await upstream.crash()

        return script

    run(main())


def test_one_broken_connection_is_not_a_crash():
    """Guard against a quarantine for broken connections alone.

    The upstream resets the connection but still listens.
    """

    async def main():
        async with Setup(
            NON_IDEMPOTENT, script=break_connection, only_b=True
        ) as setup:
            client = await setup.mesh.client("b")
            quarantine = setup.mesh.nodes["b"].node._quarantine
            for _ in range(4):
                assert (await client.request("POST", "/", b"x")).status == 502
                await wait_until(lambda: not quarantine._in_flight)
            assert len(setup.failing.requests) == 4
            assert not setup.mesh.published

    run(main())


@pytest.mark.parametrize(
    ("check", "status", "positions"),
    [
        (PositionCheck.BEHIND, 503, [7]),
        (PositionCheck.ACTIVATED, 200, [7]),
        (PositionCheck.CURRENT, 200, [7]),
    ],
)
def test_a_node_without_the_callers_release_refuses_the_call(
    check, status, positions
):
    """Guard against running a call by an outdated release.

    The calling node is at position 7, the upstream's node at 6.
    """

    async def main():
        async with Setup(NON_IDEMPOTENT, only_b=True) as setup:
            member = setup.mesh.nodes["b"]
            member.node.install(Snapshot(6, RouteTable(6, (NON_IDEMPOTENT,))))
            member.check = check
            client = await setup.mesh.client("a")
            answer = await client.get("/")
            assert answer.status == status
            assert member.positions == positions
            assert len(setup.failing.requests) == (status == 200)
            if status == 503:
                kind = answer.headers["rhubarbhollow-refusal"]
                assert kind == "stale_position"

    run(main())


def test_positions_are_read_from_requests_and_responses():
    async def main():
        async with Setup(NON_IDEMPOTENT, only_b=True) as setup:
            table = RouteTable(9, (NON_IDEMPOTENT,))
            setup.mesh.nodes["b"].node.install(Snapshot(9, table))
            client = await setup.mesh.client("a")
            answer = await client.get("/", "rhubarbhollow-position: 8")
            # Position 8, a caller's hint, is not staged at node a, so
            # the route stays at position 7.
            assert answer.status == 200
            assert answer.headers["rhubarbhollow-position"] == "7"
            assert setup.mesh.nodes["a"].positions == [8, 9]

    run(main())


def test_a_call_ends_on_the_release_on_which_it_began():
    """Guard against a call that mixes two releases.

    A release without the route takes force while the call runs.
    """

    async def script(request, writer):
        await release.wait()
        await echo(request, writer)

    async def main():
        async with Setup(NON_IDEMPOTENT, script=script, only_b=True) as setup:
            [client] = await start_calls(setup, "/")
            await wait_until(lambda: setup.failing.requests)
            node = setup.mesh.nodes["a"].node
            node.install(Snapshot(8, RouteTable(8, ())))
            release.set()
            answer = await client.read_answer()
            assert answer.headers["rhubarbhollow-position"] == "7"
            assert (await client.get("/")).status == 404

    release = asyncio.Event()
    run(main())


def test_fallback_services_are_tried_when_no_upstream_is_known():
    other = replace(
        NON_IDEMPOTENT,
        name="other",
        prefix="/x",
        service="none",
        fallbacks=("none", NON_IDEMPOTENT.service),
    )

    async def main():
        async with Setup(NON_IDEMPOTENT, other, only_b=True) as setup:
            node = setup.mesh.nodes["a"].node
            choose = node.selector.choose
            node.selector.choose = lambda service, excluded, profile=None: (
                None if service == "none" else choose(service, excluded)
            )
            client = await setup.mesh.client("a")
            assert (await client.get("/x")).body == b"GET /x "
            node.selector.choose = lambda service, excluded, profile=None: None
            answer = await client.get("/x")
            assert answer.headers["rhubarbhollow-refusal"] == "no_upstream"
            assert answer.headers["rhubarbhollow-executed"] == "no"

    run(main())

"""Rare orders of events on connections and in queues."""

from dataclasses import replace

import pytest
from tests.standin.http_client import encode_call
from tests.standin.mesh import DEFAULT_ROUTE, Mesh, run, wait_until
from tests.standin.scripted_upstream import (
    ScriptedUpstream,
    echo,
    encode_answer,
)

from rhubarbhollow_calls import body_budget
from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.http_dialect import NATIVE_DIALECT
from rhubarbhollow_calls.http_limits import MAX_REPLAY_BYTES
from rhubarbhollow_calls.io_listener import ListenerConnection
from rhubarbhollow_calls.io_local_attempt import LocalAttempt
from rhubarbhollow_calls.io_local_port import LocalPort
from rhubarbhollow_calls.io_local_upstream import LocalUpstream
from rhubarbhollow_calls.io_request_body import RequestBody
from rhubarbhollow_calls.io_settings import CallSettings
from rhubarbhollow_calls.slot_ticket import Ticket
from rhubarbhollow_wire.clock import ManualClock

UPSTREAM = LocalUpstream("desk-b", "desk", "127.0.0.1", 1, 1, 1)


def pair_test(script, check, route=DEFAULT_ROUTE, *, reads_body=True):
    async def main():
        upstream = ScriptedUpstream(script, reads_body=reads_body)
        await upstream.start()
        mesh = Mesh(route)
        await mesh.add_node("a")
        await mesh.add_node("b", upstream)
        await check(mesh, upstream)
        await mesh.close()

    run(main())


@pytest.mark.parametrize("entry", ["a", "b"])
def test_a_connection_with_half_a_request_is_not_reused(entry):
    """Guard against a request read as the body of an earlier one.

    The upstream answers before it has received the complete request.
    """

    async def check(mesh, upstream):
        client = await mesh.client(entry)
        start = b"POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 9000\r\n\r\n"
        client.send(start + b"x" * 5_000)
        assert (await client.read_answer()).body == b"POST /1 "
        client.send(b"x" * 4_000 + encode_call("GET", "/2", b""))
        assert (await client.read_answer()).body == b"GET /2 "
        assert upstream.opened == 2

    pair_test(echo, check, reads_body=False)


def test_no_call_starts_while_the_caller_reads_nothing():
    """Guard against buffering responses for a slow caller."""

    async def script(request, writer):
        writer.write(encode_answer(b"x" * 8_000_000))

    async def check(mesh, upstream):
        client = await mesh.client("b")
        client.reader._limit = 1_000
        client.send(encode_call("GET", "/1", b""))
        node = mesh.nodes["b"].node
        [connection] = node._connections
        await wait_until(lambda: connection._is_writing_paused)
        # The first response exceeds all buffers on the way, so its
        # rest is still unsent.
        client.send(encode_call("GET", "/2", b""))
        await wait_until(lambda: connection._queue)
        assert len(upstream.requests) == 1
        for _ in range(2):
            assert len((await client.read_answer()).body) == 8_000_000

    pair_test(script, check)


def test_a_call_for_a_replaced_upstream_is_not_run():
    """Guard against running a call on the wrong upstream.

    The calling node still knows the upstream that was replaced.
    """

    async def check(mesh, upstream):
        client = await mesh.client("a")
        node = mesh.nodes["b"].node
        port = upstream.port
        node.set_local_upstream(replace(UPSTREAM, name="new", port=port))
        answer = await client.get("/")
        assert answer.headers["rhubarbhollow-refusal"] == "no_upstream"
        assert answer.headers["rhubarbhollow-executed"] == "no"
        node.set_local_upstream(None)
        answer = await client.get("/")
        assert answer.headers["rhubarbhollow-executed"] == "no"
        assert not upstream.requests

    pair_test(echo, check)


def test_a_connection_resumes_reading_after_a_refused_call(monkeypatch):
    """Guard against a connection that stays paused for ever.

    A spent body budget pauses reading until the call is refused.
    """
    monkeypatch.setattr(
        body_budget, "MAX_WAITING_BODY_BYTES", MAX_REPLAY_BYTES
    )

    async def check(mesh, upstream):
        node = mesh.nodes["b"].node
        node.local_port.gate.resize(0)
        client = await mesh.client("b")
        client.send(encode_call("POST", "/", b"x" * 200_000))
        await wait_until(
            lambda: any(c._is_paused_by_call for c in node._connections)
        )
        mesh.advance(6)
        assert (await client.read_answer()).status == 504
        node.local_port.gate.resize(9)
        assert (await client.get("/next")).body == b"GET /next "

    pair_test(echo, check)


class Owner:
    """Record the failures that an attempt reports."""

    def __init__(self):
        self.failures = []

    def attempt_failed(self, failure):
        self.failures.append(failure)


class Canceller:
    """Cancel another call at the moment of its own slot grant."""

    def __init__(self, port, other, *, releases):
        self.port = port
        self.other = other
        self.releases = releases

    def slot_granted(self):
        if self.releases:
            self.port.release_slot()
        self.other.cancel()


@pytest.mark.parametrize(("releases", "slots", "used"), [(0, 2, 1), (1, 1, 0)])
def test_a_call_cancelled_during_a_grant_releases_its_slot(
    releases, slots, used
):
    """Guard against a slot that leaks.

    One call's slot grant cancels another call that is next in line.
    """

    async def main():
        clock = ManualClock()
        port = LocalPort(UPSTREAM, CallSettings(), clock, None, print)
        port.gate.resize(0)
        body = RequestBody()
        body.is_whole = True
        tickets = [Ticket(CallPriority.BULK, 9.0, n) for n in (1, 2)]
        attempt = LocalAttempt(Owner(), None, body, port, tickets[1], b"")
        user = Canceller(port, attempt, releases=releases)
        port.request_slot(user, tickets[0])
        attempt.start()
        assert port.gate.waiting == 2
        port.resize(replace(UPSTREAM, slots=slots))
        assert port.gate.in_use == used
        assert port.pool.open_connections == 0
        port.close()

    run(main())


class StubPort:
    """A listening port whose calls never end."""

    is_from_node = False
    dialect = NATIVE_DIALECT

    def __init__(self):
        self.started = []

    def open_call(self, head, downstream):
        self.started.append(head.target)
        return self

    def start(self):
        pass

    request_ended = start


def test_a_call_waits_until_the_answers_before_it_are_read():
    """Guard against buffering responses for a slow caller."""
    port = StubPort()
    connection = ListenerConnection(port)
    connection.pause_writing()
    connection.data_received(encode_call("GET", "/1", b""))
    assert not port.started
    connection.resume_writing()
    assert port.started == [b"/1"]

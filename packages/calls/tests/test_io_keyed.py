"""Calls with an idempotency key run at most once."""

import asyncio
from dataclasses import replace

import pytest
from tests.standin.claims import LedgerClaims
from tests.standin.http_client import encode_call
from tests.standin.mesh import DEFAULT_ROUTE, Mesh, run, wait_until
from tests.standin.scripted_upstream import (
    ScriptedUpstream,
    echo,
    encode_answer,
)

from rhubarbhollow_calls.claim import (
    AbandonClaim,
    RecordUnknown,
    StoreAnswer,
)
from rhubarbhollow_calls.claim_ledger import MAX_ANSWER_BYTES
from rhubarbhollow_calls.http_limits import MAX_REPLAY_BYTES

NON_IDEMPOTENT = replace(DEFAULT_ROUTE, is_idempotent=False)
KEY = "idempotency-key: k1"


def keyed_test(script, check, route=NON_IDEMPOTENT):
    async def main():
        claims = LedgerClaims()
        mesh = Mesh(route, claims=claims)
        upstream = ScriptedUpstream(script)
        await upstream.start()
        await mesh.add_node("a")
        await mesh.add_node("b", upstream)
        clients = [await mesh.client(name) for name in ("a", "b")]
        await check(mesh, upstream, claims, *clients)
        await mesh.close()

    run(main())


async def settled(claims, count=1):
    await wait_until(lambda: len(claims.settled) >= count)
    return type(claims.settled[-1])


def test_the_same_request_gets_the_first_answer_through_any_node():
    """Guard against a second run of a repeated request.

    The caller resends it through the same node and through another.
    """

    async def check(mesh, upstream, claims, one, two):
        first = await one.request("POST", "/", b"pay", KEY)
        assert await settled(claims) is StoreAnswer
        for client in (two, one):
            again = await client.request("POST", "/", b"pay", KEY)
            assert (again.status, again.body) == (200, first.body)
        assert len(upstream.requests) == 1
        other = await two.request("POST", "/", b"pay twice", KEY)
        assert other.status == 422
        assert other.headers["rhubarbhollow-executed"] == "no"
        answer = await two.request("POST", "/", b"pay", "idempotency-key: k2")
        assert answer.status == 200
        assert len(upstream.requests) == 2

    keyed_test(echo, check)


def test_a_duplicate_request_is_not_run_while_the_first_runs():
    async def script(request, writer):
        await release.wait()
        await echo(request, writer)

    async def check(mesh, upstream, claims, one, two):
        one.send(encode_call("POST", "/", b"pay", KEY))
        await wait_until(lambda: upstream.requests)
        answer = await two.request("POST", "/", b"pay", KEY)
        assert answer.status == 409
        assert answer.headers["rhubarbhollow-executed"] == "unknown"
        release.set()
        assert (await one.read_answer()).status == 200
        assert len(upstream.requests) == 1

    release = asyncio.Event()
    keyed_test(script, check)


@pytest.mark.parametrize("end", ["hang-up", "leave", "late"])
def test_after_an_unknown_outcome_nothing_runs_again(end):
    """Guard against a second run of a request that may have run.

    Its connection breaks, its caller leaves or its deadline passes.
    """

    async def script(request, writer):
        if end == "hang-up":
            writer.close()
        else:
            await asyncio.Event().wait()

    async def check(mesh, upstream, claims, one, two):
        one.send(encode_call("POST", "/", b"pay", KEY))
        await wait_until(lambda: upstream.requests)
        if end == "leave":
            one.close()
        elif end == "late":
            mesh.advance(6)
        assert await settled(claims) is RecordUnknown
        answer = await two.request("POST", "/", b"pay", KEY)
        assert answer.headers["rhubarbhollow-refusal"] == "outcome_unknown"
        assert len(upstream.requests) == 1
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    keyed_test(script, check)


def test_a_request_that_provably_did_not_run_may_be_retried():
    async def script(request, writer):
        lines = ("rhubarbhollow-not-run: true",)
        writer.write(encode_answer(b"", *lines, status="503 Full"))

    async def check(mesh, upstream, claims, one, two):
        answer = await one.request("POST", "/", b"pay", KEY)
        assert answer.headers["rhubarbhollow-executed"] == "no"
        assert await settled(claims) is AbandonClaim
        upstream._script = echo
        assert (await two.request("POST", "/", b"pay", KEY)).status == 200

    keyed_test(script, check)


def test_a_claim_granted_after_the_deadline_is_abandoned():
    """Guard against a key that stays claimed after its call ended."""

    async def check(mesh, upstream, claims, one, two):
        claims.can_answer.clear()
        one.send(encode_call("POST", "/", b"pay", KEY))
        await wait_until(lambda: mesh.nodes["a"].node._background)
        mesh.advance(6)
        answer = await one.read_answer()
        assert answer.headers["rhubarbhollow-executed"] == "no"
        claims.can_answer.set()
        assert await settled(claims) is AbandonClaim
        claims.is_reachable = False
        answer = await two.request("POST", "/", b"pay", KEY)
        assert answer.headers["rhubarbhollow-refusal"] == "claim_unavailable"
        assert answer.headers["rhubarbhollow-executed"] == "no"
        assert not upstream.requests

    keyed_test(echo, check)


@pytest.mark.parametrize(
    ("body", "line", "kind"),
    [
        (b"x" * (MAX_REPLAY_BYTES + 1), KEY, "body_too_large"),
        (b"", "idempotency-key: " + "k" * 300, "bad_request"),
    ],
)
def test_requests_that_cannot_be_claimed_are_refused(body, line, kind):
    async def check(mesh, upstream, claims, one, two):
        answer = await one.request("POST", "/", body, line)
        assert answer.headers["rhubarbhollow-refusal"] == kind
        assert not upstream.requests

    keyed_test(echo, check)


def test_a_long_answer_is_streamed_but_not_stored():
    """Guard against claims that store responses of any length.

    A repeated request is then refused with an unknown outcome.
    """

    async def check(mesh, upstream, claims, one, two):
        body = b"x" * MAX_ANSWER_BYTES
        answer = await one.request("POST", "/", body, KEY)
        assert answer.body == b"POST / " + body
        assert await settled(claims) is StoreAnswer
        again = await two.request("POST", "/", body, KEY)
        assert again.headers["rhubarbhollow-refusal"] == "outcome_unknown"

    keyed_test(echo, check)


def test_idempotent_calls_claim_nothing():
    async def check(mesh, upstream, claims, one, two):
        claims.is_reachable = False
        assert (await one.request("PUT", "/", b"x", KEY)).status == 200
        assert not mesh.nodes["a"].node._background

    keyed_test(echo, check, DEFAULT_ROUTE)

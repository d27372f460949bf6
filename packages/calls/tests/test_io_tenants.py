"""Calls on a mesh with tenants: keys, revocation and header fields."""

import asyncio
from dataclasses import replace

import pytest
from tests.standin.claims import LedgerClaims
from tests.standin.mesh import DEFAULT_ROUTE, Mesh, run, wait_until
from tests.standin.scripted_upstream import (
    ScriptedUpstream,
    encode_answer,
)

from rhubarbhollow_calls.http_dialect import NATIVE_DIALECT, Dialect
from rhubarbhollow_calls.io_settings import CallSettings
from rhubarbhollow_calls.io_snapshot import Snapshot
from rhubarbhollow_calls.route_table import RouteTable
from rhubarbhollow_tenants.directory import NO_TENANTS, TenantDirectory
from rhubarbhollow_tenants.key_digest import digest_of_key
from rhubarbhollow_tenants.tenant import Tenant

FOREIGN = Dialect(
    request_id=b"x-id",
    time_limit=b"x-left",
    upstream=b"x-only",
    origin=b"x-from",
    not_run=b"x-untouched",
    credential=b"x-key",
    tenant=b"x-tenant",
    is_foreign=True,
)
ROUTE = replace(
    DEFAULT_ROUTE, latency_seconds=2.0, rank=1, prefix="/a", is_idempotent=True
)
PUBLIC = replace(ROUTE, name="public", prefix="/p", is_public=True)
ROUTES = (ROUTE, PUBLIC)
KEY = "sekret-k1"
DIALECTS = pytest.mark.parametrize("dialect", [FOREIGN, NATIVE_DIALECT])
ENTRIES = pytest.mark.parametrize("entry", ["a", "b"])


def directory(*keys, name="archive", priority=0):
    digests = tuple(digest_of_key(key.encode()) for key in keys)
    return TenantDirectory((Tenant(name, priority, key_digests=digests),))


def snapshot(position, tenants, routes=ROUTES):
    return Snapshot(position, RouteTable(position, routes), tenants)


async def answer(request, writer):
    fields = [
        f"x-id: {value}" for value in (request.headers.get("x-id"),) if value
    ]
    writer.write(encode_answer(b"well", *fields))


async def two_nodes(dialect, tenants=None, script=answer, **kwargs):
    upstream = ScriptedUpstream(script)
    await upstream.start()
    mesh = Mesh(
        *ROUTES,
        settings=CallSettings(dialect=dialect, origin=b"shop"),
        tenants=directory(KEY) if tenants is None else tenants,
    )
    await mesh.add_node("a")
    await mesh.add_node("b", upstream, **kwargs)
    return mesh, upstream


def field(dialect, value=KEY):
    return f"{dialect.credential.decode()}: {value}"


def id_field(dialect, value="7"):
    return f"{dialect.request_id.decode()}: {value}"


def tenant_in(request, dialect):
    return request.headers.get(dialect.tenant.decode())


def names_with_secrets(headers):
    return [n for n in headers if "key" in n or "credential" in n]


@DIALECTS
@ENTRIES
def test_an_upstream_gets_the_tenant_and_not_the_key(entry, dialect):
    """Guard against keys at upstreams and against forged tenants."""

    async def main():
        mesh, upstream = await two_nodes(dialect)
        client = await mesh.client(entry)
        forged = f"{dialect.tenant.decode()}: forged"
        reply = await client.request(
            "GET", "/a", b"", id_field(dialect), field(dialect), forged
        )
        assert (reply.status, reply.body) == (200, b"well")
        (request,) = upstream.requests
        assert tenant_in(request, dialect) == "archive"
        assert not names_with_secrets(request.headers)
        assert KEY not in repr(request.headers)
        await mesh.close()

    run(main())


@DIALECTS
@ENTRIES
def test_a_public_route_needs_no_key_and_names_no_tenant(entry, dialect):
    async def main():
        mesh, upstream = await two_nodes(dialect)
        client = await mesh.client(entry)
        forged = f"{dialect.tenant.decode()}: forged"
        for fields in ((), (field(dialect), forged)):
            reply = await client.request(
                "GET", "/p", b"", id_field(dialect), *fields
            )
            assert reply.status == 200
        for request in upstream.requests:
            assert tenant_in(request, dialect) is None
            assert not names_with_secrets(request.headers)
        await mesh.close()

    run(main())


@DIALECTS
@ENTRIES
@pytest.mark.parametrize(
    "values", [(), ("",), ("other",), (KEY, KEY), (KEY, "other"), (f"{KEY}x",)]
)
def test_a_request_without_a_valid_key_is_refused(entry, dialect, values):
    """Guard against requests that run without exactly one valid key."""

    async def main():
        mesh, upstream = await two_nodes(dialect)
        fields = [field(dialect, value) for value in values]
        for is_confirmed, expected in ((True, 401), (False, 503)):
            mesh.nodes[entry].is_confirmed = is_confirmed
            client = await mesh.client(entry)
            reply = await client.request(
                "POST", "/a", b"x", id_field(dialect), *fields
            )
            # Native fields that occur twice are refused unread.
            is_bad = dialect is NATIVE_DIALECT and len(values) > 1
            assert reply.status == (400 if is_bad else expected)
            assert reply.headers["rhubarbhollow-executed"] == "no"
            assert KEY.encode() not in reply.body
            if reply.status == 503 and dialect.is_foreign:
                assert float(reply.headers["retry-after"]) > 0
        assert not upstream.requests
        await mesh.close()

    run(main())


@DIALECTS
@ENTRIES
def test_a_mesh_without_tenants_ignores_keys(entry, dialect):
    """Guard against changes to meshes that do not use tenants."""

    async def main():
        mesh, upstream = await two_nodes(dialect, NO_TENANTS)
        client = await mesh.client(entry)
        other = f"{dialect.tenant.decode()}: own"
        reply = await client.request(
            "GET", "/a", b"", id_field(dialect), field(dialect), other
        )
        assert reply.status == 200
        (request,) = upstream.requests
        if dialect.is_foreign:
            assert request.headers["x-key"] == KEY
            assert request.headers["x-tenant"] == "own"
        else:
            assert not names_with_secrets(request.headers)
            assert tenant_in(request, dialect) is None
        await mesh.close()

    run(main())


@DIALECTS
@ENTRIES
def test_an_empty_list_of_tenants_refuses_every_key(entry, dialect):
    """Guard against the last revoked key opening the mesh."""

    async def main():
        mesh, upstream = await two_nodes(dialect)
        for node in mesh.nodes.values():
            node.node.install(snapshot(8, TenantDirectory(())))
            node.is_confirmed = True
        client = await mesh.client(entry)
        forged = f"{dialect.tenant.decode()}: archive"
        for fields in ((), (field(dialect),), (field(dialect), forged)):
            reply = await client.request(
                "GET", "/a", b"", id_field(dialect), *fields
            )
            assert reply.status == 401
            reply = await client.request(
                "GET", "/p", b"", id_field(dialect), *fields
            )
            assert reply.status == 200
        assert {request.target for request in upstream.requests} == {"/p"}
        for request in upstream.requests:
            assert not names_with_secrets(request.headers)
            assert tenant_in(request, dialect) is None
        await mesh.close()

    run(main())


@DIALECTS
def test_a_node_that_still_holds_the_last_key_forwards_nothing_that_runs(
    dialect,
):
    """Guard against the last key at a node that is behind."""

    async def main():
        mesh, upstream = await two_nodes(dialect)
        mesh.nodes["b"].node.install(snapshot(8, TenantDirectory(())))
        client = await mesh.client("a")
        reply = await client.request(
            "POST", "/a", b"", id_field(dialect), field(dialect)
        )
        assert reply.status == 503
        assert reply.headers["rhubarbhollow-executed"] == "no"
        assert not upstream.requests
        await mesh.close()

    run(main())


@DIALECTS
def test_a_key_revoked_while_its_request_waits(dialect):
    """Guard against queued requests that run with a revoked key."""

    async def main():
        gate = asyncio.Event()

        async def wait(request, writer):
            await gate.wait()
            await answer(request, writer)

        for entry in "ab":
            gate.clear()
            mesh, upstream = await two_nodes(dialect, script=wait, slots=1)
            client = await mesh.client("b")
            first = asyncio.create_task(
                client.request(
                    "POST", "/a", b"1", id_field(dialect, "1"), field(dialect)
                )
            )
            await wait_until(lambda up=upstream: len(up.requests) == 1)
            other = await mesh.client(entry)
            second = asyncio.create_task(
                other.request(
                    "POST", "/a", b"2", id_field(dialect, "2"), field(dialect)
                )
            )
            port = mesh.nodes["b"].node.local_port
            await wait_until(lambda p=port: p.gate.waiting == 1)
            mesh.nodes["b"].node.install(snapshot(8, directory("new")))
            gate.set()
            # The first was running and ends.
            assert (await first).status == 200
            reply = await second
            # The entry "a" still has the release with the key.
            assert reply.status == (503 if entry == "a" else 401)
            assert reply.headers["rhubarbhollow-executed"] == "no"
            assert len(upstream.requests) == 1
            assert port.gate.in_use == 0
            counters = mesh.nodes[entry].node.counters
            assert counters.keys_withdrawn == {"archive": 1}
            await mesh.close()

    run(main())


@DIALECTS
@pytest.mark.parametrize("is_caller_ahead", [True, False])
def test_a_key_revoked_while_its_request_is_on_its_way(
    dialect, is_caller_ahead
):
    """Guard against requests in transit that run with a revoked key.

    The node of the caller may get the release before the answer.
    """

    async def main():
        mesh, upstream = await two_nodes(dialect)
        ahead = snapshot(8, directory("new"))
        mesh.nodes["b"].node.install(ahead)
        if is_caller_ahead:
            # It is staged there, and the answer names its position.
            mesh.nodes["a"].staged = ahead
        client = await mesh.client("a")
        for number in range(2):
            reply = await client.request(
                "POST",
                "/a",
                b"",
                id_field(dialect, f"{number}"),
                field(dialect),
            )
            assert reply.status == (401 if is_caller_ahead else 503)
            assert reply.headers["rhubarbhollow-executed"] == "no"
        assert not upstream.requests
        await mesh.close()

    run(main())


@DIALECTS
def test_a_kept_connection_does_not_keep_a_revoked_key(dialect):
    """Guard against authentication once a connection."""

    async def main():
        mesh, upstream = await two_nodes(dialect)
        client = await mesh.client("a")
        statuses = []
        for number, tenants in enumerate(
            (directory(KEY), directory(KEY, "new"), directory("new"))
        ):
            for node in mesh.nodes.values():
                node.node.install(snapshot(8 + number, tenants))
            reply = await client.request(
                "GET",
                "/a",
                b"",
                id_field(dialect, f"{number}"),
                field(dialect),
            )
            statuses.append(reply.status)
        assert statuses == [200, 200, 401]
        assert len(upstream.requests) == 2
        await mesh.close()

    run(main())


@DIALECTS
def test_a_node_that_is_behind_never_answers_401(dialect):
    """Guard against 401 for a key that a newer release holds.

    The node beside the upstream activates the release that the request
    names if it is staged, and refuses the request as stale otherwise.
    """

    async def main():
        mesh, upstream = await two_nodes(dialect)
        ahead = snapshot(8, directory("new"))
        mesh.nodes["a"].node.install(ahead)
        client = await mesh.client("a")
        request = ("POST", "/a", b"", id_field(dialect), field(dialect, "new"))
        assert (await client.request(*request)).status == 503
        assert not upstream.requests
        mesh.nodes["b"].staged = ahead
        assert (await client.request(*request)).status == 200
        behind = await mesh.client("b")
        mesh.nodes["b"].node.install(snapshot(7, directory(KEY)))
        mesh.nodes["b"].is_confirmed = False
        assert (await behind.request(*request)).status == 503
        await mesh.close()

    run(main())


@DIALECTS
def test_a_node_without_a_release_answers_503(dialect):
    async def main():
        mesh, upstream = await two_nodes(dialect, has_release=False)
        request = ("POST", "/a", b"", id_field(dialect), field(dialect))
        for entry in "ab":
            client = await mesh.client(entry)
            reply = await client.request(*request)
            assert reply.status == 503
            assert reply.headers["rhubarbhollow-executed"] == "no"
        assert not upstream.requests
        await mesh.close()

    run(main())


@DIALECTS
def test_a_node_that_knows_no_tenants_yet_forwards_nothing_that_runs(dialect):
    """Guard against requests without a key that run on a newer release.

    This is also what a node of an earlier version sends: a hop field
    without a tenant.
    """

    async def main():
        mesh, upstream = await two_nodes(dialect, NO_TENANTS)
        mesh.nodes["b"].node.install(snapshot(8, directory(KEY)))
        client = await mesh.client("a")
        for path, status in (("/a", 503), ("/p", 200)):
            reply = await client.request(
                "POST", path, b"", id_field(dialect), field(dialect)
            )
            assert reply.status == status
        (request,) = upstream.requests
        assert not names_with_secrets(request.headers)
        await mesh.close()

    run(main())


@DIALECTS
@ENTRIES
def test_tenants_of_higher_priority_are_served_first(entry, dialect):
    """Guard against a priority that does not reach the upstream."""

    async def main():
        low = Tenant("low", 1, key_digests=(digest_of_key(b"low"),))
        high = Tenant("high", 0, key_digests=(digest_of_key(b"high"),))
        order = []
        gate = asyncio.Event()

        async def wait(request, writer):
            order.append(tenant_in(request, dialect))
            await gate.wait()
            await answer(request, writer)

        mesh, _ = await two_nodes(
            dialect, TenantDirectory((low, high)), wait, slots=1
        )
        port = mesh.nodes["b"].node.local_port
        tasks = []
        for number, key in enumerate(("low", "low", "high")):
            client = await mesh.client(entry)
            tasks.append(
                asyncio.create_task(
                    client.request(
                        "GET", "/a", b"",
                        id_field(dialect, f"{number}"), field(dialect, key),
                    )
                )
            )  # fmt: skip
            await wait_until(
                lambda n=number: port.gate.in_use + port.gate.waiting == n + 1
            )
        gate.set()
        await asyncio.gather(*tasks)
        assert order == ["low", "high", "low"]
        await mesh.close()

    run(main())


def test_tenants_do_not_get_each_other_s_stored_answers():
    """Guard against an answer that another tenant's key unlocks.

    Tenants choose idempotency keys on their own. Two pairs of tenant
    and key must not run into one either.
    """

    async def main():
        claims = LedgerClaims()
        upstream = ScriptedUpstream(answer_with_count)
        await upstream.start()
        owners = [
            Tenant(name, key_digests=(digest_of_key(name.encode()),))
            for name in ("x", "x/pay")
        ]
        unsafe = [
            replace(ROUTE, name=name, prefix=f"/{name}", is_idempotent=False)
            for name in ("pay", "s")
        ]
        open_route = replace(unsafe[0], name="x", prefix="/x", is_public=True)
        mesh = Mesh(
            *unsafe,
            open_route,
            claims=claims,
            tenants=TenantDirectory(owners),
        )
        await mesh.add_node("a", upstream)
        client = await mesh.client("a")
        calls = [
            ("/pay", "s/k", "x"),
            ("/s", "k", "x/pay"),
            ("/pay", "s/k", "x/pay"),
            ("/x", "pay/s/k", ""),
            ("/x", "pay;s/k", ""),
        ]
        for _ in range(2):
            for number, (path, key, owner) in enumerate(calls):
                reply = await client.request(
                    "POST",
                    path,
                    b"1",
                    f"idempotency-key: {key}",
                    field(NATIVE_DIALECT, owner),
                )
                assert (reply.status, reply.body) == (200, b"%d" % number)
                await wait_until(lambda n=number: len(claims.settled) > n)
        assert len(upstream.requests) == len(calls)
        await mesh.close()

    async def answer_with_count(request, writer):
        writer.write(encode_answer(b"%d" % (len(counted))))
        counted.append(request)

    counted = []
    run(main())


@DIALECTS
def test_a_revoked_key_does_not_wait_for_a_slot(dialect):
    """Guard against callers that wait to learn that they may not."""

    async def main():
        gate = asyncio.Event()

        async def wait(request, writer):
            await gate.wait()
            await answer(request, writer)

        mesh, upstream = await two_nodes(dialect, script=wait, slots=1)
        client = await mesh.client("b")
        first = asyncio.create_task(
            client.request(
                "POST", "/a", b"1", id_field(dialect, "1"), field(dialect)
            )
        )
        await wait_until(lambda: len(upstream.requests) == 1)
        mesh.nodes["b"].node.install(snapshot(8, directory("new")))
        other = await mesh.client("a")
        # The slot is taken until the gate opens.
        reply = await other.request(
            "POST", "/a", b"2", id_field(dialect, "2"), field(dialect)
        )
        assert reply.status == 503
        gate.set()
        assert (await first).status == 200
        await mesh.close()

    run(main())

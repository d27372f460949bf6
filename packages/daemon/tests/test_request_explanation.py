"""Explanations of requests, compared with what the calls do."""

from dataclasses import asdict, replace

import pytest
from tests.standin.mesh import DEFAULT_ROUTE, Mesh, run
from tests.standin.scripted_upstream import ScriptedUpstream, echo

from rhubarbhollow_calls.io_snapshot import Snapshot
from rhubarbhollow_calls.route_table import RouteTable
from rhubarbhollow_daemon.request_explanation import (
    AskedRequest,
    explain_request,
)
from rhubarbhollow_tenants.directory import TenantDirectory
from rhubarbhollow_tenants.key_digest import digest_of_key
from rhubarbhollow_tenants.tenant import Tenant

KEY = "sekret-k1"
ROUTES = (
    replace(DEFAULT_ROUTE, prefix="/a", latency_seconds=2.0),
    replace(DEFAULT_ROUTE, name="p", prefix="/p", is_public=True),
    replace(DEFAULT_ROUTE, name="n", prefix="/n", service="none"),
    replace(
        DEFAULT_ROUTE,
        name="f",
        prefix="/f",
        service="none",
        fallbacks=("desk",),
    ),
    replace(
        DEFAULT_ROUTE,
        name="s",
        prefix="/s",
        splits=(("desk", 3.0), ("none", 1.0)),
    ),
)
TENANT = Tenant("archive", 1, 5.0, 6.0, (digest_of_key(KEY.encode()),))


async def start(**kwargs):
    upstream = ScriptedUpstream(echo)
    await upstream.start()
    mesh = Mesh(*ROUTES, tenants=TenantDirectory((TENANT,)))
    await mesh.add_node("a", **kwargs)
    await mesh.add_node("b", upstream, **kwargs)
    return mesh, upstream


def explain(mesh, path, tenant=None, entry="a"):
    node = mesh.nodes[entry].node
    return explain_request(node, AskedRequest("GET", "h", path, tenant))


@pytest.mark.parametrize("is_confirmed", [True, False])
@pytest.mark.parametrize("entry", ["a", "b"])
@pytest.mark.parametrize(
    ("path", "tenant", "status"),
    [
        ("/a", "archive", 200),
        ("/a", None, (401, 503)),
        ("/a", "other", (401, 503)),
        ("/p", None, 200),
        ("/p", "other", 200),
        ("/x", "archive", (404, 503)),
        ("/n", "archive", 503),
        ("/f", "archive", 200),
    ],
)
def test_an_explanation_tells_what_a_call_does(
    entry, path, tenant, status, is_confirmed
):
    """Guard against explanations that decide unlike the call path."""

    async def main():
        mesh, upstream = await start()
        mesh.nodes[entry].is_confirmed = is_confirmed
        view = explain(mesh, path, tenant, entry)
        assert not upstream.requests
        key = KEY if tenant == "archive" else f"{tenant or ''}"
        client = await mesh.client(entry)
        reply = await client.request(
            "GET", path, b"", f"rhubarbhollow-credential: {key}"
        )
        expected = status
        if isinstance(status, tuple):
            expected = status[not is_confirmed]
        assert reply.status == expected
        if expected == 200:
            assert (view.decision, view.status) == ("forward", 0)
            assert "desk-b" in view.reason
        else:
            assert (view.decision, view.status) == ("refuse", expected)
            assert view.kind == reply.headers["rhubarbhollow-refusal"]
            assert view.reason in reply.body.decode()
        assert view.release_confirmed is is_confirmed
        assert KEY not in repr(view)
        await mesh.close()

    run(main())


def test_an_explanation_shows_tenant_route_and_candidates():
    async def main():
        mesh, _ = await start()
        view = asdict(explain(mesh, "/a", "archive"))
        assert view["tenant"]["name"] == "archive"
        assert (view["tenant"]["rate"], view["tenant"]["burst"]) == (5.0, 6.0)
        assert view["route"]["objective_ms"] == 2000
        (candidate,) = view["candidates"]
        assert candidate["upstream"] == "desk-b"
        assert candidate["chosen_as"] == 1.0
        split = asdict(explain(mesh, "/s", "archive"))
        assert [one["chosen_as"] for one in split["candidates"]] == [0.75]
        await mesh.close()

    run(main())


def test_an_explanation_changes_no_later_choice_of_a_split():
    """Guard against explanations that use up turns of a split."""

    async def main():
        mesh, _ = await start()
        state = mesh.nodes["a"].node.route(b"h", b"/s")
        known = [state.services.next() for _ in range(8)]
        for _ in range(4):
            explain(mesh, "/s", "archive")
        assert [state.services.next() for _ in range(8)] == known
        assert all(
            view.in_flight == 0
            for view in mesh.nodes["a"].node.selector.explain("desk")
        )
        await mesh.close()

    run(main())


def test_a_node_without_a_release_or_that_stops_says_so():
    async def main():
        mesh, _ = await start(has_release=False)
        node = mesh.nodes["a"].node
        assert explain(mesh, "/a").kind == "no_release"
        node.install(Snapshot(3, RouteTable(3, ROUTES)))
        assert explain(mesh, "/a").decision == "forward"
        node.begin_leaving(mesh.clock.monotonic() + 0.001)
        assert explain(mesh, "/a").kind == "draining"
        node.begin_drain()
        assert explain(mesh, "/a").kind == "draining"
        await mesh.close()

    run(main())

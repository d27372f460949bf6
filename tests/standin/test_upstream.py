"""Tests of the stand-in upstream behind the nodes of a mesh."""

import json
from dataclasses import replace

import pytest

from tests.standin.http_client import HttpClient
from tests.standin.mesh import DEFAULT_ROUTE, Mesh, run
from tests.standin.upstream import Upstream, UpstreamSettings

ROUTE = replace(DEFAULT_ROUTE, attempts=3, budget_ratio=1.0)


async def start_two_upstreams(slots=9):
    mesh = Mesh(ROUTE)
    upstreams = []
    for name in ("a", "b"):
        settings = UpstreamSettings(f"desk-{name}", "desk", slots=slots)
        upstream = Upstream(settings)
        await upstream.start()
        upstreams.append(upstream)
        mesh_node = await mesh.add_node(name, upstream, slots=slots)
        upstream.settings = replace(settings, node_port=mesh_node.caller_port)
    return mesh, upstreams


def test_echo_health_load_and_large_answers():
    """Guard against a stand-in that alters requests or answers."""

    async def main():
        mesh, upstreams = await start_two_upstreams()
        client = await mesh.client("a")
        answer = await client.request("PUT", "/x?y", b"body", "x-a: 1")
        document = json.loads(answer.body)
        assert (document["method"], document["path"]) == ("PUT", "/x?y")
        assert document["body"] == "body"
        assert ["x-a", "1"] in document["headers"]
        assert document["name"] == answer.headers["rhubarbhollow-upstream"]
        answer = await client.get("/large?bytes=3000001")
        assert len(answer.body) == 3_000_001
        direct = await HttpClient.connect(upstreams[0].port)
        assert (await direct.get("/health")).body == b"ok"
        assert (await direct.get("/load")).body == b"0.000"
        await mesh.close()

    run(main())


@pytest.mark.parametrize("levels", [0, 1, 17])
def test_a_chain_forwards_its_depth_and_deadline(levels):
    """Guard against nested calls that lose their depth or deadline.

    Each level must add one to the depth, take its time from the
    deadline and run once.
    """

    async def main():
        mesh, upstreams = await start_two_upstreams(slots=20)
        client = await mesh.client("a")
        answer = await client.get(f"/chain?levels={levels}")
        fields = dict(json.loads(answer.body)["headers"])
        assert fields["rhubarbhollow-depth"] == str(levels + 1)
        assert int(fields["rhubarbhollow-timeout-ms"]) < 5_000 - levels
        assert sum(upstream.runs for upstream in upstreams) == levels + 1
        await mesh.close()

    run(main())


def test_retries_do_not_multiply_along_a_chain():
    """Guard against retries at every level of a chain of calls.

    If each level retried the refusal from below, the number of calls
    would grow exponentially with the depth.
    """

    async def main():
        mesh, upstreams = await start_two_upstreams(slots=20)
        for upstream in upstreams:
            upstream.settings = replace(upstream.settings, slots=6)
        client = await mesh.client("a")
        answer = await client.get("/chain?levels=17")
        # The two upstreams run 12 levels with 6 slots each; the 13th is
        # rejected by both, once each.
        assert answer.status == 503
        assert sum(upstream.runs for upstream in upstreams) == 12
        retries = sum(
            mesh_node.node.route_states[0].counters.retries
            for mesh_node in mesh.nodes.values()
        )
        assert retries <= 7
        await mesh.close()

    run(main())


def test_a_leaving_upstream_answers_not_run_and_is_avoided():
    """Guard against calls that are lost at a leaving upstream.

    It answers that it did not run the call, and the nodes call the
    other upstream instead.
    """

    async def main():
        mesh, upstreams = await start_two_upstreams()
        direct = await HttpClient.connect(upstreams[0].port)
        upstreams[0].is_leaving = True
        answer = await direct.get("/")
        assert answer.status == 503
        assert answer.headers["rhubarbhollow-not-run"] == "true"
        client = await mesh.client("a")
        for _ in range(10):
            answer = await client.get("/")
            assert answer.headers["rhubarbhollow-upstream"] == "desk-b"
        assert upstreams[0].runs == 0
        await mesh.close()

    run(main())

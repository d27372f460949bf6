"""Calls of a route that is split over services, over real sockets."""

from collections import Counter
from dataclasses import replace

import pytest
from tests.standin.mesh import DEFAULT_ROUTE, Mesh, run
from tests.standin.scripted_upstream import (
    ScriptedUpstream,
    echo,
    encode_answer,
)

CALLS = 100
PARTS = (("desk", 0.7), ("bench", 0.3))
SPLIT = replace(DEFAULT_ROUTE, splits=PARTS, attempts=3)


async def shed(_, writer):
    writer.write(
        encode_answer(b"", "rhubarbhollow-not-run: true", status="503 X")
    )


def call_often(script, route=SPLIT, is_bench_leaving=False):
    """Return the statuses, and the requests that each service got."""

    statuses, requests = Counter(), {}

    async def main():
        upstreams = {"desk": ScriptedUpstream(echo)}
        upstreams["bench"] = ScriptedUpstream(script)
        mesh = Mesh(route)
        await mesh.add_node("caller")
        for service, upstream in upstreams.items():
            await upstream.start()
            await mesh.add_node(service, upstream, service)
        if is_bench_leaving:
            mesh.nodes["bench"].node.local_port.begin_drain()
        client = await mesh.client("caller")
        for _ in range(CALLS):
            statuses[(await client.get("/")).status] += 1
        await mesh.close()
        requests.update(
            {
                service: len(upstream.requests)
                for service, upstream in upstreams.items()
            }
        )

    run(main())
    return statuses, requests


def test_each_part_gets_its_share():
    """Guard against a split that does not follow its weights."""
    statuses, requests = call_often(echo)
    assert statuses == {200: CALLS}
    assert abs(requests["desk"] - 70) <= 2
    assert requests["desk"] + requests["bench"] == CALLS


@pytest.mark.parametrize("is_bench_leaving", [False, True])
@pytest.mark.parametrize("is_idempotent", [False, True])
def test_what_one_part_refuses_is_not_moved_to_another(
    is_idempotent, is_bench_leaving
):
    """Guard against a share that grows while another part is short."""
    route = replace(SPLIT, is_idempotent=is_idempotent)
    script = echo if is_bench_leaving else shed
    statuses, requests = call_often(script, route, is_bench_leaving)
    assert abs(requests["desk"] - 70) <= 2
    assert statuses[200] == requests["desk"]
    assert statuses[503] == CALLS - requests["desk"]

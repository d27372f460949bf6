"""A node's call path with a built-in release and endpoint table.

With ``--upstream-port`` it is the node beside the upstream; otherwise
it forwards calls to the node at ``--peer-port``.
"""

from __future__ import annotations

import asyncio
import random

import click
import uvloop

from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.call_route import CallRoute
from rhubarbhollow_calls.endpoint import Endpoint, EndpointState
from rhubarbhollow_calls.endpoint_table import EndpointTable
from rhubarbhollow_calls.io_garbage_collection import freeze_startup_objects
from rhubarbhollow_calls.io_local_upstream import LocalUpstream
from rhubarbhollow_calls.io_node import CallNode
from rhubarbhollow_calls.io_position import PositionCheck
from rhubarbhollow_calls.io_snapshot import Snapshot
from rhubarbhollow_calls.quarantine import Quarantine
from rhubarbhollow_calls.route_table import RouteTable
from rhubarbhollow_calls.upstream_selector import UpstreamSelector
from rhubarbhollow_wire.clock import SystemClock

SLOTS = 9
CONNECTIONS = 110
ROUTES = tuple(
    CallRoute(
        name=f"route-{number}",
        host="counter-desk",
        prefix=prefix,
        service="desk",
        timeout_ms=5_000,
        attempts=2,
        budget_ratio=0.1,
        priority=CallPriority.INTERACTIVE,
        is_idempotent=True,
        fallbacks=(),
    )
    for number, prefix in enumerate(("/", "/meters", "/refunds", "/bench"))
)


def build_node(upstream_port: int, peer_port: int) -> CallNode:
    """Return a node whose endpoint table holds one upstream."""
    clock = SystemClock()
    selector = UpstreamSelector("ilala", clock, random.Random(1))
    node = CallNode(
        "caller" if peer_port else "beside",
        "ilala",
        selector,
        clock,
        lambda position: PositionCheck.CURRENT,  # noqa: ARG005
        quarantine=Quarantine(clock),
    )
    node.install(Snapshot(1, RouteTable(1, ROUTES)))
    endpoint = Endpoint(
        "desk-1",
        "desk",
        "ilala",
        "beside",
        "127.0.0.1",
        peer_port or 1,
        SLOTS,
        EndpointState.UP,
        1,
        clock.monotonic() - 100,
    )
    selector.replace(EndpointTable(1, (endpoint,)))
    if upstream_port:
        node.set_local_upstream(
            LocalUpstream(
                "desk-1",
                "desk",
                "127.0.0.1",
                upstream_port,
                SLOTS,
                CONNECTIONS,
            )
        )
    return node


async def serve(upstream_port: int, peer_port: int, is_peer: bool) -> None:
    """Listen for callers or for other nodes, and print the port."""
    node = build_node(upstream_port, peer_port)
    freeze_startup_objects()
    loop = asyncio.get_running_loop()
    factory = (
        node.peer_protocol_factory if is_peer else node.caller_protocol_factory
    )
    server = await loop.create_server(factory, "127.0.0.1", 0)
    print(f"port={server.sockets[0].getsockname()[1]}", flush=True)
    while True:
        await asyncio.sleep(1)
        node.tick()


@click.command()
@click.option("--upstream-port", default=0)
@click.option("--peer-port", default=0)
@click.option("--listen-peer", is_flag=True)
def main(upstream_port: int, peer_port: int, listen_peer: bool) -> None:
    """Run one node."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(upstream_port, peer_port, listen_peer))


if __name__ == "__main__":
    main()

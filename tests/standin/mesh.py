"""Nodes in one process that are connected by loopback sockets."""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import uvloop

from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.call_route import CallRoute
from rhubarbhollow_calls.endpoint import Endpoint, EndpointState
from rhubarbhollow_calls.endpoint_table import EndpointTable
from rhubarbhollow_calls.io_local_upstream import LocalUpstream
from rhubarbhollow_calls.io_node import CallNode
from rhubarbhollow_calls.io_position import PositionCheck
from rhubarbhollow_calls.io_settings import CallSettings
from rhubarbhollow_calls.io_snapshot import Snapshot
from rhubarbhollow_calls.quarantine import Quarantine
from rhubarbhollow_calls.route_table import RouteTable
from rhubarbhollow_calls.upstream_selector import UpstreamSelector
from rhubarbhollow_tenants.directory import NO_TENANTS
from rhubarbhollow_wire.clock import ManualClock
from tests.standin.http_client import FAIL_SAFE_SECONDS, HttpClient

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from rhubarbhollow_calls.io_claim_port import ClaimPort
    from rhubarbhollow_calls.quarantine_message import QuarantineMessage
    from rhubarbhollow_tenants.directory import TenantDirectory
    from tests.standin.scripted_upstream import ScriptedUpstream

_FOREVER = itertools.repeat(None)
DEFAULT_ROUTE = CallRoute(
    "lookup", "*", "/", "desk", 5_000, 2, 1.0, CallPriority.INTERACTIVE,
    is_idempotent=True, fallbacks=(),
)  # fmt: skip


def run(main: Coroutine[object, object, None]) -> None:
    """Run a test coroutine on uvloop, the event loop of the nodes."""

    async def bounded() -> None:
        async with asyncio.timeout(FAIL_SAFE_SECONDS):
            await main

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


async def wait_until(is_reached: Callable[[], bool]) -> None:
    """Yield to the event loop until a condition holds."""
    async with asyncio.timeout(FAIL_SAFE_SECONDS / 2):
        for _ in itertools.takewhile(lambda _: not is_reached(), _FOREVER):
            await asyncio.sleep(0)


@dataclass
class MeshNode:
    """Hold a node, its listeners and the positions it observed."""

    node: CallNode
    caller_port: int
    peer_port: int
    servers: tuple[asyncio.Server, ...]
    positions: list[int] = field(default_factory=list)
    check: PositionCheck = PositionCheck.BEHIND

    staged: Snapshot | None = None
    is_confirmed: bool = True

    def observe(self, position: int) -> PositionCheck:
        """Record a position, and install the release staged for it."""
        self.positions.append(position)
        if self.staged is not None and self.staged.position == position:
            self.node.install(self.staged)
            return PositionCheck.ACTIVATED
        return self.check


class Mesh:
    """Build nodes that share one release and one endpoint table."""

    def __init__(
        self,
        *routes: CallRoute,
        settings: CallSettings | None = None,
        position: int = 7,
        claims: ClaimPort | None = None,
        tenants: TenantDirectory = NO_TENANTS,
    ) -> None:
        self.clock = ManualClock()
        self.nodes: dict[str, MeshNode] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.published: list[QuarantineMessage] = []
        self._claims = claims
        self._settings = settings or CallSettings()
        self._snapshot = Snapshot(
            position, RouteTable(position, routes or (DEFAULT_ROUTE,)), tenants
        )

    async def add_node(
        self,
        name: str,
        upstream: ScriptedUpstream | None = None,
        service: str = "desk",
        slots: int = 9,
        connections: int = 110,
        has_release: bool = True,
    ) -> MeshNode:
        selector = UpstreamSelector("here", self.clock, random.Random(5))
        quarantine = Quarantine(self.clock)

        def observe(position: int, *, is_hint: bool = False) -> PositionCheck:
            return self.nodes[name].observe(position)

        node = CallNode(
            name, "here", selector, self.clock, observe, self._settings,
            quarantine, self.published.append, self._claims,
            is_release_confirmed=lambda: self.nodes[name].is_confirmed,
        )  # fmt: skip
        if has_release:
            node.install(self._snapshot)
        loop = asyncio.get_running_loop()
        caller = await loop.create_server(
            node.caller_protocol_factory, "127.0.0.1", 0
        )
        peer = await loop.create_server(
            node.peer_protocol_factory, "127.0.0.1", 0
        )
        mesh_node = MeshNode(node, _port(caller), _port(peer), (caller, peer))
        self.nodes[name] = mesh_node
        if upstream is not None:
            self._announce(
                mesh_node, upstream.port, service, slots, connections
            )
        self._publish_endpoints()
        return mesh_node

    def advance(self, seconds: float) -> None:
        """Advance the clock and run the nodes' periodic sweep once.

        The timers of the event loop do not follow this clock.
        """
        self.clock.advance(seconds)
        for mesh_node in self.nodes.values():
            mesh_node.node.sweep.run()

    async def client(self, name: str) -> HttpClient:
        return await HttpClient.connect(self.nodes[name].caller_port)

    async def close(self) -> None:
        for mesh_node in self.nodes.values():
            for server in mesh_node.servers:
                server.close()
            mesh_node.node.close()

    def _announce(
        self,
        mesh_node: MeshNode,
        port: int,
        service: str,
        slots: int,
        connections: int,
    ) -> None:
        name = f"{service}-{mesh_node.node.name}"
        mesh_node.node.set_local_upstream(
            LocalUpstream(
                name,
                service,
                "127.0.0.1",
                port,
                slots,
                connections,
                instance=name,
            )
        )
        self.endpoints[name] = Endpoint(
            name, service, "here", mesh_node.node.name, "127.0.0.1",
            mesh_node.peer_port, slots, EndpointState.UP, 0, -100.0,
        )  # fmt: skip

    def _publish_endpoints(self) -> None:
        for mesh_node in self.nodes.values():
            version = len(self.nodes)
            table = EndpointTable(version, self.endpoints.values())
            mesh_node.node.selector.replace(table)


def _port(server: asyncio.Server) -> int:
    return int(server.sockets[0].getsockname()[1])

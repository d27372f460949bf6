"""The control port, which accepts nodes and other control instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio
import structlog
from result import Err, Ok, Result

from rhubarbhollow_daemon.codec import CODEC
from rhubarbhollow_daemon.messages import PeerHello
from rhubarbhollow_daemon.socket_options import detect_lost_peer
from rhubarbhollow_distribution.hello import Hello
from rhubarbhollow_wire.connection import FrameConnection
from rhubarbhollow_wire.faults import UnexpectedFrame, WireFault

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import ByteStream, SocketStream, TaskGroup
    from anyio.streams.stapled import MultiListener

    from rhubarbhollow_wire.traffic import Traffic

HELLO_TIMEOUT_SECONDS: Final = 5.0
MAX_CONNECTIONS: Final = 2_048
ACCEPT_RETRY_SECONDS: Final = 0.1

_log = structlog.get_logger()


class ControlListener:
    """Serve nodes and control instances by their first message.

    A connection that sends no valid hello in time, or the hello of
    another mesh, is logged and closed; the listener continues.
    """

    def __init__(
        self,
        mesh: str,
        node_traffic: Traffic,
        peer_traffic: Traffic,
        serve_node: Callable[[FrameConnection, Hello], Awaitable[None]],
        serve_peer: Callable[[PeerHello, object], None],
    ) -> None:
        self._mesh = mesh
        self._node_traffic = node_traffic
        self._peer_traffic = peer_traffic
        self._serve_node = serve_node
        self._serve_peer = serve_peer
        self._connections = 0
        self._peer_scopes: dict[tuple[str, int], anyio.CancelScope] = {}

    async def run(self, listener: MultiListener[SocketStream]) -> None:
        """Accept connections until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._accept_all(listener, group)
                await anyio.sleep(ACCEPT_RETRY_SECONDS)

    async def _accept_all(
        self,
        listener: MultiListener[SocketStream],
        group: TaskGroup,
    ) -> None:
        try:
            await listener.serve(self._accept, group)
        except* OSError as errors:
            # Too many open files, or the peer closed before the accept.
            _log.warning("accept_failed", cause=repr(errors.exceptions[0]))

    async def _accept(self, stream: ByteStream) -> None:
        if self._connections >= MAX_CONNECTIONS:
            _log.warning("connection_refused", reason="too_many_connections")
            await anyio.aclose_forcefully(stream)
            return
        self._connections += 1
        detect_lost_peer(stream)
        connection = FrameConnection(stream, CODEC, self._node_traffic)
        try:
            await self._handshake(connection)
        except Exception:
            # A fault on one connection must not end all the others.
            _log.exception("connection_failed")
        finally:
            self._connections -= 1
            await connection.close()

    async def _handshake(self, connection: FrameConnection) -> None:
        first: Result[object, WireFault] = Err(UnexpectedFrame(("timeout",)))
        with anyio.move_on_after(HELLO_TIMEOUT_SECONDS):
            first = await _receive_first(connection)
        match first:
            case Ok(Hello(mesh=mesh) as hello) if mesh == self._mesh:
                connection.set_peer_data_centre(hello.data_centre)
                await self._serve_node(connection, hello)
            case Ok(PeerHello(mesh=mesh) as hello) if mesh == self._mesh:
                connection.count_in(self._peer_traffic)
                await self._serve_latest_connection(connection, hello)
            case Ok(message):
                _log.warning(
                    "connection_refused",
                    reason="other_mesh_or_no_hello",
                    message=type(message).__name__,
                )
            case Err(fault):
                _log.warning("connection_refused", reason=repr(fault))

    async def _serve_latest_connection(
        self,
        connection: FrameConnection,
        hello: PeerHello,
    ) -> None:
        """Serve a peer's connection until it opens another one.

        Messages still buffered on a replaced connection are older than
        those on the new one, and the peer may never close it.
        """
        key = hello.control, hello.group
        replaced = self._peer_scopes.get(key)
        if replaced is not None:
            replaced.cancel()
        with anyio.CancelScope() as scope:
            self._peer_scopes[key] = scope
            try:
                await self._receive_from_peer(connection, hello)
            finally:
                if self._peer_scopes.get(key) is scope:
                    del self._peer_scopes[key]

    async def _receive_from_peer(
        self,
        connection: FrameConnection,
        hello: PeerHello,
    ) -> None:
        while True:
            received = await connection.receive()
            if isinstance(received, Err):
                _log.info(
                    "peer_closed",
                    peer=hello.control,
                    cause=repr(received.err_value),
                )
                return
            self._serve_peer(hello, received.ok_value)


async def _receive_first(
    connection: FrameConnection,
) -> Result[object, WireFault]:
    opened = await connection.open()
    if isinstance(opened, Err):
        return opened
    return await connection.receive()

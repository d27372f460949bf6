"""A node's connection to the control instance that it follows."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import anyio
from result import Err, Ok, Result

from rhubarbhollow_daemon.node_codec import NODE_CODEC
from rhubarbhollow_distribution.redirect import Redirect
from rhubarbhollow_distribution.welcome import Welcome
from rhubarbhollow_wire.connection import FrameConnection

if TYPE_CHECKING:
    from rhubarbhollow_daemon.staggered_connect import Connected
    from rhubarbhollow_distribution.hello import Hello
    from rhubarbhollow_wire.traffic import Traffic

WELCOME_TIMEOUT_SECONDS: Final = 10.0
MS_PER_SECOND: Final = 1000


@dataclass(frozen=True, slots=True)
class NotConnected:
    """No welcome arrived; retry after the delay at the earliest."""

    cause: str
    retry_after_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class SourceConnection:
    """Hold a connection and the contents of its welcome."""

    connection: FrameConnection
    endpoints_source: str
    node_incarnation: int


async def greet_source(
    connected: Connected,
    hello: Hello,
    traffic: Traffic,
) -> Result[SourceConnection, NotConnected]:
    """Send the hello and wait for the welcome.

    Returns ``NotConnected`` with the cause if either fails or the
    control instance redirects the node.
    """
    connection = FrameConnection(
        connected.stream,
        NODE_CODEC,
        traffic,
        peer_data_centre=connected.address.data_centre,
    )
    outcome: Result[SourceConnection, NotConnected] = Err(
        NotConnected("no_welcome")
    )
    try:
        with anyio.move_on_after(WELCOME_TIMEOUT_SECONDS):
            outcome = await _handshake(connection, hello)
    finally:
        if outcome.is_err():
            await connection.close()
    return outcome


async def _handshake(
    connection: FrameConnection,
    hello: Hello,
) -> Result[SourceConnection, NotConnected]:
    opened = await connection.open()
    if isinstance(opened, Err):
        return Err(NotConnected(type(opened.err_value).__name__))
    sent = await connection.send(hello)
    if isinstance(sent, Err):
        return Err(NotConnected(type(sent.err_value).__name__))
    match await connection.receive():
        case Ok(Welcome() as welcome):
            return Ok(
                SourceConnection(
                    connection,
                    welcome.source,
                    welcome.node_incarnation,
                )
            )
        case Ok(Redirect(retry_after_ms=retry_after_ms)):
            delay_seconds = retry_after_ms / MS_PER_SECOND
            return Err(NotConnected("redirected", delay_seconds))
        case Ok(message):
            return Err(NotConnected(type(message).__name__))
        case Err(fault):
            return Err(NotConnected(type(fault).__name__))

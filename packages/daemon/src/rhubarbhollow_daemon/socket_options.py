"""Socket options of connections between our own processes."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

from anyio.abc import SocketAttribute

if TYPE_CHECKING:
    from anyio.abc import ByteStream

# a release has 2 s to reach every node, so a connection that went
# silent has to be replaced well within that
UNACKNOWLEDGED_MS: Final = 1_200
KEEPALIVE_IDLE_SECONDS: Final = 2
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 2


def detect_lost_peer(stream: ByteStream) -> None:
    """End a connection whose other end acknowledges no more.

    After a partition TCP would repeat lost data at intervals of up to
    two minutes, and a connection that only receives would stand for
    ever. A stream that is no socket is left as it is.
    """
    raw = stream.extra(SocketAttribute.raw_socket, None)  # noqa: S610
    if raw is None:
        return
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    ):
        raw.setsockopt(socket.IPPROTO_TCP, option, value)

"""Noticing that the other end of a call's connection has gone."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import asyncio

# quiet time before a probe, and until the one probe counts as lost
KEEPALIVE_IDLE_SECONDS: Final = 1
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 1


def watch_for_loss(
    transport: asyncio.BaseTransport, unacknowledged_ms: int
) -> None:
    """End a connection whose other end acknowledges nothing.

    A machine without power sends no reset, and TCP repeats lost data
    for many minutes.  A transport without a socket is left as it is.
    """
    raw = transport.get_extra_info("socket")
    if raw is None:
        return
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, unacknowledged_ms),
    ):
        raw.setsockopt(socket.IPPROTO_TCP, option, value)

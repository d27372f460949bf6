"""Detection of dead peers by TCP keepalive and user timeout."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from typing import Protocol


class SocketOptions(Protocol):
    """Set socket options; implemented by sockets and test doubles."""

    def setsockopt(self, level: int, option: int, value: int, /) -> None:
        """Set one option."""
        ...


@dataclass(frozen=True, slots=True)
class KeepaliveLimits:
    """Limit how long a connection may remain without acknowledgements.

    The connection ends when sent data remains unacknowledged for
    ``unacknowledged_ms``.  An idle connection is probed after
    ``idle_seconds`` and then every ``interval_seconds``, and ends after
    ``probes`` unanswered probes.
    """

    unacknowledged_ms: int
    idle_seconds: int
    interval_seconds: int
    probes: int


def enable_keepalive(raw: SocketOptions, limits: KeepaliveLimits) -> None:
    """Make the kernel end a connection whose peer no longer responds.

    A machine that loses power sends no reset.  After a partition, TCP
    would retransmit lost data at intervals of up to two minutes, and a
    connection that only receives would remain open forever.
    """
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, limits.idle_seconds),
        (socket.TCP_KEEPINTVL, limits.interval_seconds),
        (socket.TCP_KEEPCNT, limits.probes),
        (socket.TCP_USER_TIMEOUT, limits.unacknowledged_ms),
    ):
        raw.setsockopt(socket.IPPROTO_TCP, option, value)

"""Noticing that the other end of a connection has gone."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from typing import Protocol


class SocketOptions(Protocol):
    """Set options, as sockets and their stand-ins do."""

    def setsockopt(self, level: int, option: int, value: int, /) -> None:
        """Set one option."""
        ...


@dataclass(frozen=True, slots=True)
class LossLimits:
    """Bound how long a connection may stay without an answer.

    Data that stays unacknowledged ends it after ``unacknowledged_ms``.
    A quiet connection is probed after ``idle_seconds``, and ends after
    ``probes`` probes, one each ``interval_seconds``.
    """

    unacknowledged_ms: int
    idle_seconds: int
    interval_seconds: int
    probes: int


def watch_for_loss(raw: SocketOptions, limits: LossLimits) -> None:
    """End a connection whose other end acknowledges nothing any more.

    A machine without power sends no reset.  After a partition TCP would
    repeat lost data at intervals of up to two minutes, and a connection
    that only receives would stand for ever.
    """
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, limits.idle_seconds),
        (socket.TCP_KEEPINTVL, limits.interval_seconds),
        (socket.TCP_KEEPCNT, limits.probes),
        (socket.TCP_USER_TIMEOUT, limits.unacknowledged_ms),
    ):
        raw.setsockopt(socket.IPPROTO_TCP, option, value)

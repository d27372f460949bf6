"""Settings of the call path."""

from __future__ import annotations

from dataclasses import dataclass

from rhubarbhollow_calls.http_dialect import NATIVE_DIALECT, Dialect


@dataclass(frozen=True, slots=True)
class CallSettings:
    """Bound the time and the connections that calls may take.

    ``upstream_idle_seconds`` stays below the time after which common
    servers close an idle connection, so that a call is seldom written
    to a connection that is just being closed.  ``kept_connections``
    bounds the listeners' connections that are kept after an answer.
    ``unacknowledged_ms`` ends a connection whose other end is lost.
    ``origin`` names the service beside this node.
    ``retry_after_seconds`` is the mean time after which a refused
    caller is asked to return: a busy upstream frees a slot every 20 ms
    or so, and after four of them most callers can still be in time.
    """

    queue_limit: int = 64
    connect_timeout_seconds: float = 1.0
    upstream_idle_seconds: int = 4
    peer_idle_seconds: int = 30
    peer_connections: int = 32
    connection_waiters: int = 256
    caller_idle_seconds: int = 60
    kept_connections: int = 2_048
    head_timeout_seconds: int = 10
    linger_seconds: int = 2
    unacknowledged_ms: int = 1_000
    dialect: Dialect = NATIVE_DIALECT
    origin: bytes = b""
    retry_after_seconds: float = 0.08

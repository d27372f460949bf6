"""Settings of the call path."""

from __future__ import annotations

from dataclasses import dataclass

from rhubarbhollow_calls.http_dialect import NATIVE_DIALECT, Dialect


@dataclass(frozen=True, slots=True)
class CallSettings:
    """Limit the time and the connections that calls may use.

    ``upstream_idle_seconds`` stays below the idle timeout of common
    servers, so that a call is seldom written to a connection that is
    just being closed.  ``kept_connections`` limits the connections of
    the listeners that stay open after a response.
    ``unacknowledged_ms`` is the time after which a connection whose
    peer acknowledges no data is closed.  ``origin`` names the service
    of this node.
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

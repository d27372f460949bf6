"""A pool of reusable client connections to one address."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING, Final, Protocol

from rhubarbhollow_calls.http_dialect import NATIVE_DIALECT
from rhubarbhollow_calls.io_client import ClientConnection
from rhubarbhollow_calls.reuse_limit import ReuseLimit
from rhubarbhollow_wire.keepalive import KeepaliveLimits

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_dialect import Dialect
    from rhubarbhollow_calls.io_settings import CallSettings
    from rhubarbhollow_wire.clock import Clock


# With these limits a call to a machine that lost power or network
# ends within two seconds, even if its request was acknowledged before.
KEEPALIVE_IDLE_SECONDS: Final = 1
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 1

# A host or a port that no socket can have raises one of the latter two.
# A waiter must hear of any of them, or it waits for its time limit.
_CONNECT_ERRORS: Final = (OSError, ValueError, OverflowError)


class ConnectFault(Enum):
    """Name the reason why no connection was available.

    Nothing has been written in any of these cases.
    """

    REFUSED = "refused"
    TIMED_OUT = "timed-out"
    POOL_FULL = "pool-full"
    POOL_CLOSED = "pool-closed"


class ConnectionWaiter(Protocol):
    """Receive the result of a request for a pooled connection."""

    def connection_ready(self, connection: ClientConnection) -> None:
        """Use the connection for one call."""
        ...

    def connection_failed(self, fault: ConnectFault) -> None:
        """Handle that no connection was available."""
        ...


class ConnectionPool:
    """Manage up to ``limit`` connections to one address.

    The most recently used idle connection is reused first, so that the
    surplus connections of a burst reach their idle timeout.  Tasks of
    the pool open connections; handing one out needs no task.
    """

    def __init__(
        self,
        host: str,
        port: int,
        limit: int,
        idle_seconds: int,
        settings: CallSettings,
        clock: Clock,
        dialect: Dialect = NATIVE_DIALECT,
    ) -> None:
        self.dialect = dialect
        self.keepalive_limits = KeepaliveLimits(
            settings.unacknowledged_ms,
            KEEPALIVE_IDLE_SECONDS,
            KEEPALIVE_INTERVAL_SECONDS,
            KEEPALIVE_PROBES,
        )
        self._host = host
        self._port = port
        self._limit = limit
        self._idle_seconds = idle_seconds
        self._settings = settings
        self._clock = clock
        self._reuse = ReuseLimit()
        self._idle: list[ClientConnection] = []
        self._open: set[ClientConnection] = set()
        self._connecting: set[asyncio.Task[None]] = set()
        self._waiters: deque[ConnectionWaiter] = deque()
        self._is_closed = False

    @property
    def open_connections(self) -> int:
        """Return the number of connections open or being opened."""
        return len(self._open) + len(self._connecting)

    @property
    def is_unused(self) -> bool:
        """Return whether no connection is open or being opened."""
        return not self._open and not self._connecting

    def acquire(self, waiter: ConnectionWaiter) -> None:
        """Give ``waiter`` a connection now or when one is available."""
        connection = self._maybe_take_idle()
        if connection is not None:
            waiter.connection_ready(connection)
            return
        if self._is_closed:
            waiter.connection_failed(ConnectFault.POOL_CLOSED)
            return
        if len(self._waiters) >= self._settings.connection_waiters:
            waiter.connection_failed(ConnectFault.POOL_FULL)
            return
        self._waiters.append(waiter)
        self._open_connection_if_needed()

    def remove_waiter(self, waiter: ConnectionWaiter) -> None:
        """Remove a waiter whose call has ended."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def release(self, connection: ClientConnection) -> None:
        """Take back a connection after a complete response."""
        if self._is_closed:
            connection.abort()
            return
        connection.released_at = self._clock.monotonic()
        if self._waiters:
            self._waiters.popleft().connection_ready(connection)
            return
        connection.idle_ticks = 0
        self._idle.append(connection)

    def drop(self, connection: ClientConnection) -> None:
        """Remove a connection that is closed or about to be."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._open_connection_if_needed()

    def now(self) -> float:
        """Return the time on this node's monotonic clock."""
        return self._clock.monotonic()

    def note_break(self, rested_seconds: float, begun_at: float) -> None:
        """Record a connection in use again that broke unanswered."""
        now = self._clock.monotonic()
        self._reuse.record_break(rested_seconds, now - begun_at, now)

    def resize(self, limit: int) -> None:
        """Set another limit; surplus connections stay open."""
        self._limit = limit

    def tick(self) -> None:
        """Close connections idle for too long; called once a second."""
        for connection in self._idle:
            connection.idle_ticks += 1
        for connection in list(self._idle):
            limit = self._idle_seconds
            if connection.idle_limit is not None:
                limit = min(limit, connection.idle_limit)
            if connection.idle_ticks > limit:
                connection.abort()

    def close(self) -> None:
        """Close idle connections and fail all waiters.

        Connections in use are closed at the end of their call.
        """
        self._is_closed = True
        for task in self._connecting:
            task.cancel()
        for connection in list(self._idle):
            connection.abort()
        while self._waiters:
            waiter = self._waiters.popleft()
            waiter.connection_failed(ConnectFault.POOL_CLOSED)

    def _maybe_take_idle(self) -> ClientConnection | None:
        """Return the connection that rested least, if usable."""
        now = self._clock.monotonic()
        if self._idle:
            connection = self._idle.pop()
            if self._reuse.may_reuse(now - connection.released_at, now):
                return connection
            # The others have rested for longer.
            connection.abort()
            for other in list(self._idle):
                other.abort()
        return None

    def _open_connection_if_needed(self) -> None:
        if self._is_closed or len(self._connecting) >= len(self._waiters):
            return
        if self.open_connections >= self._limit:
            return
        task = asyncio.get_running_loop().create_task(self._connect())
        self._connecting.add(task)

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        fault = ConnectFault.REFUSED
        connection: ClientConnection | None = None
        try:
            async with asyncio.timeout(self._settings.connect_timeout_seconds):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self), self._host, self._port
                )
        except TimeoutError:
            fault = ConnectFault.TIMED_OUT
        except _CONNECT_ERRORS:
            fault = ConnectFault.REFUSED
        finally:
            task = asyncio.current_task()
            if task is not None:
                self._connecting.discard(task)
        if connection is None:
            self._fail_first_waiter(fault)
            return
        self._open.add(connection)
        self.release(connection)

    def _fail_first_waiter(self, fault: ConnectFault) -> None:
        if self._waiters:
            self._waiters.popleft().connection_failed(fault)
        self._open_connection_if_needed()

"""Network streams that end at a deadline.

The HTTP library bounds each read and write alone, so a server that
sends a byte now and then could hold a command up for ever.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import httpcore

if TYPE_CHECKING:
    import ssl
    from collections.abc import Iterable

    from rhubarbhollow_wire.clock import Clock

WRITE_CHUNK_BYTES: Final = 1 << 16


class DeadlineStream(httpcore.NetworkStream):
    """Bound each operation of a stream by one deadline."""

    def __init__(
        self,
        stream: httpcore.NetworkStream,
        clock: Clock,
        deadline: float,
    ) -> None:
        self._stream = stream
        self._clock = clock
        self._deadline = deadline

    def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read what has come; ignore the library's own limit."""
        del timeout
        remaining = self._deadline - self._clock.monotonic()
        if remaining <= 0:
            raise httpcore.ReadTimeout("deadline passed")
        return self._stream.read(max_bytes, remaining)

    def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write a buffer in chunks; ignore the library's own limit."""
        del timeout
        for start in range(0, len(buffer), WRITE_CHUNK_BYTES):
            remaining = self._deadline - self._clock.monotonic()
            if remaining <= 0:
                raise httpcore.WriteTimeout("deadline passed")
            chunk = buffer[start : start + WRITE_CHUNK_BYTES]
            self._stream.write(chunk, remaining)

    def close(self) -> None:
        """Close the stream."""
        self._stream.close()

    def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.NetworkStream:
        """Refuse TLS: servers are reached by plain HTTP."""
        del ssl_context, server_hostname, timeout
        raise httpcore.UnsupportedProtocol("TLS")

    def get_extra_info(self, info: str) -> object:
        """Return what the stream knows about itself."""
        return self._stream.get_extra_info(info)


class DeadlineBackend(httpcore.NetworkBackend):
    """Open streams that share one deadline."""

    def __init__(self, clock: Clock, deadline: float) -> None:
        self._backend = httpcore.SyncBackend()
        self._clock = clock
        self._deadline = deadline

    def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.NetworkStream:
        """Connect before the deadline."""
        del timeout
        remaining = self._deadline - self._clock.monotonic()
        if remaining <= 0:
            raise httpcore.ConnectTimeout("deadline passed")
        stream = self._backend.connect_tcp(
            host,
            port,
            remaining,
            local_address,
            socket_options,
        )
        return DeadlineStream(stream, self._clock, self._deadline)

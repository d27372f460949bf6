"""Network streams that end at a deadline.

The HTTP library applies its timeout to each read and write separately,
so a server that sends single bytes could block a command indefinitely.
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
    """A stream whose operations all share one deadline."""

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
        """Read available bytes, ignoring the library's own timeout."""
        del timeout
        remaining = self._deadline - self._clock.monotonic()
        if remaining <= 0:
            raise httpcore.ReadTimeout("deadline passed")
        return self._stream.read(max_bytes, remaining)

    def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write a buffer, ignoring the library's own timeout.

        Write in chunks, so that the deadline is checked between them.
        """
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
        """Raise ``UnsupportedProtocol``; servers use plain HTTP."""
        del ssl_context, server_hostname, timeout
        raise httpcore.UnsupportedProtocol("TLS")

    def get_extra_info(self, info: str) -> object:
        """Return extra information of the underlying stream."""
        return self._stream.get_extra_info(info)


class DeadlineBackend(httpcore.NetworkBackend):
    """Network backend whose connections share one deadline."""

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
        """Connect, or raise ``ConnectTimeout`` at the deadline."""
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

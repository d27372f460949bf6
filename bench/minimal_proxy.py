"""A minimal proxy of two asyncio protocols with httptools parsers.

It does not validate, route or handle failures, so that its cost is the
lower bound of a call path built on these components.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import httptools
import uvloop


class Upstream(asyncio.Protocol):
    """Forward the responses of an upstream connection to its caller."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.caller: Caller | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._header_lines: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Feed the received bytes to the parser."""
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Discard the header fields of the previous response."""
        self._header_lines = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self._header_lines.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """Forward the status line and the header fields."""
        status = self._parser.get_status_code()
        head = b"HTTP/1.1 %d X\r\n" % status
        assert self.caller is not None
        self.caller.transport.write(
            head + b"".join(self._header_lines) + b"\r\n"
        )

    def on_body(self, data: bytes) -> None:
        """Forward a part of the body."""
        assert self.caller is not None
        self.caller.transport.write(data)

    def on_message_complete(self) -> None:
        """Release the caller and mark the connection as idle."""
        assert self.caller is not None
        self.caller.idle.append(self)
        self.caller = None


class Caller(asyncio.Protocol):
    """Forward each request of a caller, without its body."""

    def __init__(self, idle: list[Upstream]) -> None:
        self.transport: Any = None
        self.idle = idle
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._header_lines: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Feed the received bytes to the parser."""
        self._parser.feed_data(data)

    def on_url(self, target: bytes) -> None:
        """Store the request target and start a new list of fields."""
        self._target = target
        self._header_lines = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self._header_lines.append(b"%b: %b\r\n" % (name, value))

    def on_message_complete(self) -> None:
        """Forward the request over an idle upstream connection."""
        upstream = self.idle.pop()
        upstream.caller = self
        head = b"%b %b HTTP/1.1\r\n" % (
            self._parser.get_method(),
            self._target,
        )
        upstream.transport.write(head + b"".join(self._header_lines) + b"\r\n")


async def main(port: int) -> None:
    """Open the connections to the upstream, then listen."""
    loop = asyncio.get_running_loop()
    idle = [
        (await loop.create_connection(Upstream, "127.0.0.1", port))[1]
        for _ in range(32)
    ]
    server = await loop.create_server(lambda: Caller(idle), "127.0.0.1", 0)
    print(f"port={server.sockets[0].getsockname()[1]}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main(int(sys.argv[1])))

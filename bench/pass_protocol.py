"""The least pass-through of two protocols with httptools parsers.

It checks nothing, routes nothing and handles no failure: it is the
floor under what a call path on these parts can cost.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import httptools
import uvloop


class Upstream(asyncio.Protocol):
    """Read one answer at a time for one caller."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.caller: Caller | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._parts: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse what has come."""
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Forget the message before."""
        self._parts = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a field."""
        self._parts.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """Pass the head on."""
        status = self._parser.get_status_code()
        head = b"HTTP/1.1 %d X\r\n" % status
        assert self.caller is not None
        self.caller.transport.write(head + b"".join(self._parts) + b"\r\n")

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        assert self.caller is not None
        self.caller.transport.write(data)

    def on_message_complete(self) -> None:
        """Take the end of a message."""
        assert self.caller is not None
        self.caller.idle.append(self)
        self.caller = None


class Caller(asyncio.Protocol):
    """Read requests and pass them on over an idle connection."""

    def __init__(self, idle: list[Upstream]) -> None:
        self.transport: Any = None
        self.idle = idle
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._parts: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse what has come."""
        self._parser.feed_data(data)

    def on_url(self, target: bytes) -> None:
        """Keep the target."""
        self._target = target
        self._parts = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a field."""
        self._parts.append(b"%b: %b\r\n" % (name, value))

    def on_message_complete(self) -> None:
        """Take the end of a message."""
        upstream = self.idle.pop()
        upstream.caller = self
        head = b"%b %b HTTP/1.1\r\n" % (
            self._parser.get_method(),
            self._target,
        )
        upstream.transport.write(head + b"".join(self._parts) + b"\r\n")


async def main(port: int) -> None:
    """Open a few connections to the upstream, then listen."""
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

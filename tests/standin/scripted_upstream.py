"""An upstream whose responses are scripted by a test."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, cast

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class Request:
    """Hold a request as the upstream read it."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    raw_head: bytes


class Script(Protocol):
    """Answer a request on its connection, or break the protocol."""

    async def __call__(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None: ...


class EchoingWriter:
    """Repeat the attempt's id in each response that starts a write."""

    def __init__(self, writer: asyncio.StreamWriter, attempt: str) -> None:
        self._writer = writer
        self._line = f"\r\nrhubarbhollow-attempt: {attempt}\r\n".encode()

    def write(self, data: bytes) -> None:
        if data.startswith(b"HTTP/1.1 ") and not data.startswith(b"1", 9):
            data = data.replace(b"\r\n", self._line, 1)
        self._writer.write(data)

    def __getattr__(self, name: str) -> object:
        return getattr(self._writer, name)


class ScriptedUpstream:
    """Serve on a loopback port and record every request.

    With ``echoes`` all responses repeat the id of the attempt.
    """

    def __init__(
        self, script: Script, *, reads_body: bool = True, echoes: bool = True
    ) -> None:
        self._script = script
        self._echoes = echoes
        self._reads_body = reads_body
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.requests: list[Request] = []
        self.opened = 0
        self.closed = 0
        self.changed = asyncio.Condition()

    @property
    def port(self) -> int:
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )

    async def crash(self) -> None:
        """Stop listening and reset every connection."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        await self._update_counts(opened=1)
        try:
            while True:
                request = await _read_request(reader, self._reads_body)
                self.requests.append(request)
                await self._update_counts()
                await self._script(request, self._wrap(request, writer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            # asyncio 3.11 would report a cancelled connection task as
            # an unhandled exception.
            return
        finally:
            self._writers.discard(writer)
            writer.close()
            await self._update_counts(closed=1)

    def _wrap(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> asyncio.StreamWriter:
        attempt = request.headers.get("rhubarbhollow-attempt")
        if attempt is None or not self._echoes:
            return writer
        return cast("asyncio.StreamWriter", EchoingWriter(writer, attempt))

    async def _update_counts(self, opened: int = 0, closed: int = 0) -> None:
        self.opened += opened
        self.closed += closed
        async with self.changed:
            self.changed.notify_all()


async def _read_request(
    reader: asyncio.StreamReader, reads_body: bool
) -> Request:
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").rstrip().split("\r\n")
    method, target, _ = first.split()
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    body = b""
    if not reads_body:
        return Request(method, target, headers, body, raw)
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif "transfer-encoding" in headers:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    return Request(method, target, headers, body, raw)


def encode_answer(body: bytes, *lines: str, status: str = "200 OK") -> bytes:
    """Encode a response with further header lines."""
    fields = [f"content-length: {len(body)}", *lines]
    head = "\r\n".join((f"HTTP/1.1 {status}", *fields, "", ""))
    return head.encode() + body


async def echo(request: Request, writer: asyncio.StreamWriter) -> None:
    """Answer with the method, the target and the body."""
    line = f"{request.method} {request.target} ".encode()
    writer.write(encode_answer(line + request.body))

"""A small HTTP/1.1 client for the stand-ins."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer; status 0 stands for none."""

    status: int
    body: bytes = b""
    fields: dict[str, str] = field(default_factory=dict)


NO_ANSWER = Answer(0)


async def request(
    method: str,
    host: str,
    port: int,
    path: str,
    body: bytes = b"",
    fields: tuple[tuple[str, str], ...] = (),
    timeout_s: float = 1.0,
) -> Answer:
    """Send a request on a new connection and return its answer."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(method, host, port, path, body, fields)
    except (OSError, EOFError, ValueError, TimeoutError):
        return NO_ANSWER


async def _exchange(
    method: str,
    host: str,
    port: int,
    path: str,
    body: bytes,
    fields: tuple[tuple[str, str], ...],
) -> Answer:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        names = {name.lower() for name, _ in fields}
        lines = [f"{method} {path} HTTP/1.1"]
        if "host" not in names:
            lines.append(f"Host: {host}:{port}")
        lines += [f"{name}: {value}" for name, value in fields]
        if body or method in ("PUT", "POST"):
            lines.append(f"Content-Length: {len(body)}")
        lines.append("Connection: close")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        return await read_answer(reader)
    finally:
        writer.transport.abort()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer; raise ``EOFError`` if it is not complete."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    status = int(first.split(" ")[1])
    fields = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.lower()] = value.strip()
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.read()
    return Answer(status, body, fields)

"""An HTTP/1.1 client that exposes each response as received."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Ends a test that hangs; no test depends on its length.
FAIL_SAFE_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold a response; ``is_whole`` is false if it was cut short."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    is_whole: bool = True


class HttpClient:
    """Send raw bytes on one connection and read the responses."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, port: int) -> HttpClient:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        return cls(reader, writer)

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def get(self, target: str, *lines: str) -> Answer:
        return await self.request("GET", target, b"", *lines)

    async def request(
        self, method: str, target: str, body: bytes, *lines: str
    ) -> Answer:
        """Send a request with extra header lines; read the response."""
        self.send(encode_call(method, target, body, *lines))
        return await self.read_answer(is_for_head=method == "HEAD")

    async def read_answer(self, *, is_for_head: bool = False) -> Answer:
        async with asyncio.timeout(FAIL_SAFE_SECONDS):
            return await self._read_answer(is_for_head)

    async def read_to_end(self) -> bytes:
        """Return all bytes until the connection is closed or reset.

        After a reset the result is empty.
        """
        async with asyncio.timeout(FAIL_SAFE_SECONDS):
            try:
                return await self.reader.read()
            except ConnectionError:
                return b""

    def close(self) -> None:
        self.writer.close()

    async def _read_answer(self, is_for_head: bool) -> Answer:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip().split("\r\n")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
        status = int(first.split()[1])
        if is_for_head or status in (100, 204, 304):
            return Answer(status, headers, b"")
        body, is_whole = await self._read_body(headers)
        return Answer(status, headers, body, is_whole)

    async def _read_body(
        self, headers: Mapping[str, str]
    ) -> tuple[bytes, bool]:
        parts: list[bytes] = []
        try:
            if "content-length" in headers:
                length = int(headers["content-length"])
                parts.append(await self.reader.readexactly(length))
                return parts[0], True
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                parts.append(await self.reader.readexactly(size))
                await self.reader.readexactly(2)
            await self.reader.readexactly(2)
        except asyncio.IncompleteReadError as error:
            return b"".join(parts) + error.partial, False
        except ConnectionError:
            return b"".join(parts), False
        return b"".join(parts), True


def encode_call(method: str, target: str, body: bytes, *lines: str) -> bytes:
    """Encode a request with further header lines."""
    fields = ["host: mesh", *lines]
    if body:
        fields.append(f"content-length: {len(body)}")
    head = "\r\n".join((f"{method} {target} HTTP/1.1", *fields, "", ""))
    return head.encode("latin-1") + body

"""A target's stand-in: serves requests and speaks to its own node."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from http_client import Answer, request
from mesh import CONTROL_PORT

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(slots=True)
class Run:
    """A request that reached the target, and when its work began."""

    request_id: str
    at: float
    fields: dict[str, str] = field(default_factory=dict)
    ended: str = ""


class Target:
    """Run requests in a number of slots, and answer with a signature.

    ``work_s`` tells how long a request runs. A request whose connection
    closes is dropped. A request that finds no slot waits for one; the
    node is told the number of slots and sends no more.
    """

    def __init__(
        self,
        host: str,
        identity: str,
        service: str,
        slots: int = 9,
        work_s: Callable[[str], float] = lambda _: 0.02,
        note: Callable[[str], None] = lambda _: None,
    ) -> None:
        self.host = host
        self.identity = identity
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.note = note
        self.runs: list[Run] = []
        self.port = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self._slots = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of the machine."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def beat_body(self, state: str = "ready") -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {
                "Service": self.service,
                "Address": f"{self.host}:{self.port}",
                "Zone": "ilala",
                "Version": "v1",
                "Slots": self.slots,
                "State": state,
                "ColdRemainingS": 0,
                "Sequence": self.sequence,
                "born": self.born,
            }
        ).encode()

    async def send(self, method: str, body: bytes = b"") -> Answer:
        """Send a call about this target to the node beside it."""
        path = f"/rhubarbhollow/instances/{self.identity}"
        return await request(
            method,
            self.host,
            CONTROL_PORT,
            path,
            body,
            (("Content-Type", "application/json"),),
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, EOFError, ValueError):
            pass
        finally:
            writer.transport.abort()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        _, path, _ = first.split(" ")
        fields = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if colon:
                fields[name.lower()] = value.strip()
        await _read_body(reader, fields)
        request_id = fields.get("request-id", "")
        expected = fields.get("expected-instance", self.identity)
        if expected != self.identity:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\n"
                + f"Request-Id: {request_id}\r\n".encode()
                + b"Content-Length: 0\r\n\r\n"
            )
            await writer.drain()
            return True
        async with self._slots:
            run = Run(request_id, time.monotonic(), fields)
            self.runs.append(run)
            self.note(f"target {self.identity} runs {request_id}")
            watch = asyncio.ensure_future(reader.read(1))
            work = asyncio.ensure_future(asyncio.sleep(self.work_s(path)))
            await asyncio.wait(
                (watch, work), return_when=asyncio.FIRST_COMPLETED
            )
            watch.cancel()
            await asyncio.gather(watch, return_exceptions=True)
            if not work.done():
                work.cancel()
                run.ended = "dropped"
                self.note(f"target {self.identity} drops {request_id}")
                return False
            run.ended = "ok"
        body = f"{self.identity} {request_id}".encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\n"
            + f"Request-Id: {request_id}\r\n".encode()
            + f"Response-Seal: seal.{self.identity}.{request_id}\r\n".encode()
            + f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        await writer.drain()
        return True


async def _read_body(
    reader: asyncio.StreamReader, fields: dict[str, str]
) -> None:
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif "content-length" in fields:
        await reader.readexactly(int(fields["content-length"]))

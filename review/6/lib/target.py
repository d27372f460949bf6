"""A target as the users' pages describe it, in a process of its own.

It answers requests after some work, refuses what it can't run with
``Not-Executed``, and sends heartbeats to the node beside it.  Each run
is written to a file when it begins and when it ends.

    target.py IP PORT CONTROL_PORT SERVICE ZONE ID RUNS
              [WORK_SECONDS [STREAM_SECONDS [quiet]]]

With STREAM_SECONDS its answers have no length and end with their
connection, and the second half follows the first after that time.  With
``quiet`` the case itself sends the heartbeats of this target.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time

SLOTS = 9
HEARTBEAT_SECONDS = 1.5
IDLE_SECONDS = 10.0
DEFAULT_WORK_SECONDS = 0.16
ACK_SECONDS = 1.0
STREAM_LINES = 20


class Target:
    """Serve requests and announce itself."""

    def __init__(self, words: list[str]) -> None:
        self.ip, port, control, self.service, self.zone = words[:5]
        self.port, self.control = int(port), int(control)
        self.id, runs = words[5:7]
        self.work = float(words[7]) if words[7:] else DEFAULT_WORK_SECONDS
        self.stream = float(words[8]) if words[8:] else 0.0
        self.is_quiet = words[9:] == ["quiet"]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.runs = os.open(runs, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def note(self, **fields: object) -> None:
        """Write a line about a run."""
        line = {"at": time.monotonic(), "target": self.id, **fields}
        os.write(self.runs, json.dumps(line).encode() + b"\n")

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, a request at a time."""
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, EOFError, ValueError, TimeoutError):
            pass
        finally:
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        async with asyncio.timeout(IDLE_SECONDS):
            line = await reader.readuntil(b"\r\n")
        method, path, _ = line.decode("latin-1").split(" ", 2)
        headers: dict[str, str] = {}
        while (line := await reader.readuntil(b"\r\n")) != b"\r\n":
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await self._read_body(reader, headers)
        if path == "/health":
            self._write(writer, 200, {"Instance-Id": self.id}, b"")
            return True
        request_id = headers.get("request-id", "")
        echo = {"Request-Id": request_id}
        if not request_id:
            self._write(writer, 400, {"Not-Executed": "1"}, b"")
            return True
        if headers.get("expected-instance", self.id) != self.id:
            self._write(writer, 421, {**echo, "Not-Executed": "1"}, b"")
            return True
        left = float(headers.get("deadline-milliseconds", "5000")) / 1000
        until = time.monotonic() + left
        try:
            async with asyncio.timeout(left):
                await self.slots.acquire()
        except TimeoutError:
            self._write(writer, 503, {**echo, "Not-Executed": "1"}, b"")
            return True
        try:
            self.note(
                begin=request_id,
                method=method,
                path=path,
                size=len(body),
                caller=headers.get("caller-service"),
                tenant=headers.get("tenant-name"),
                credential=headers.get("credential"),
            )
            work = min(self.work, max(0.0, until - time.monotonic()))
            await asyncio.sleep(work)
        finally:
            self.slots.release()
        is_late = time.monotonic() >= until
        answer = f"{self.service} {request_id}\n".encode()
        seal = f"{request_id}.{len(answer):x}"
        status = 504 if is_late else 200
        if self.stream and status == 200:
            await self._stream(writer, echo, request_id)
            return False
        self.note(end=request_id, status=status)
        self._write(writer, status, {**echo, "Response-Seal": seal}, answer)
        await writer.drain()
        return True

    async def _stream(
        self,
        writer: asyncio.StreamWriter,
        echo: dict[str, str],
        request_id: str,
    ) -> None:
        """Send an answer without a length, in two halves."""
        half = f"{request_id} of {self.service}\n".encode() * STREAM_LINES
        seal = f"{request_id}.{2 * len(half):x}"
        fields = {**echo, "Response-Seal": seal, "Connection": "close"}
        lines = ["HTTP/1.1 200 answer"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + half)
        await writer.drain()
        self.note(half=request_id, size=len(half))
        await asyncio.sleep(self.stream)
        writer.write(half)
        await writer.drain()
        self.note(end=request_id, status=200)

    async def _read_body(
        self, reader: asyncio.StreamReader, headers: dict[str, str]
    ) -> bytes:
        if headers.get("transfer-encoding", "").lower() != "chunked":
            length = int(headers.get("content-length", "0"))
            return await reader.readexactly(length)
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readuntil(b"\r\n")
        await reader.readuntil(b"\r\n")
        return body

    def _write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        fields = {
            **headers,
            "Content-Length": str(len(body)),
            "Keep-Alive": f"timeout={int(IDLE_SECONDS)}",
        }
        lines = [f"HTTP/1.1 {status} answer"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def beat(self) -> None:
        """Send heartbeats until the process ends."""
        while True:
            try:
                async with asyncio.timeout(ACK_SECONDS):
                    await self._beat_once()
            except (OSError, EOFError, TimeoutError):
                await asyncio.sleep(0.2)
                continue
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _beat_once(self) -> None:
        self.sequence += 1
        body = json.dumps(
            {
                "Service": self.service,
                "Address": f"{self.ip}:{self.port}",
                "Zone": self.zone,
                "Version": "v1",
                "Slots": SLOTS,
                "State": "ready",
                "ColdRemainingS": 0,
                "Sequence": self.sequence,
                "born": self.born,
            }
        ).encode()
        reader, writer = await asyncio.open_connection(self.ip, self.control)
        try:
            writer.write(
                f"PUT /rhubarbhollow/instances/{self.id} HTTP/1.1\r\n"
                f"Host: {self.ip}:{self.control}\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            await reader.readuntil(b"\r\n")
        finally:
            writer.close()


async def main() -> None:
    """Run the target until it is killed."""
    target = Target(sys.argv[1:])
    server = await asyncio.start_server(target.serve, target.ip, target.port)
    async with server:
        if target.is_quiet:
            await server.serve_forever()
        await target.beat()


if __name__ == "__main__":
    asyncio.run(main())

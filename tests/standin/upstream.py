"""A stand-in for the platform's upstreams.

Run it with ``python -m tests.standin.upstream --service desk``. It can
be slow at first, rejects calls beyond its slots with status 503, drains
on SIGTERM, reports its load with a delay, and exits on a body that
contains ``CRASH``.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import urllib.parse
from collections import deque
from dataclasses import dataclass
from typing import cast

import click
import httptools
import uvloop

from tests.standin.announcer import Announcer

LOAD_DELAY_SECONDS = 2.0
LARGE_CHUNK = bytes(range(256)) * 64


@dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """Configure an upstream.

    During the first ``cold_seconds`` calls take ``cold_factor`` times
    as long. ``node_port`` is the caller port of the node beside it.
    """

    name: str
    service: str
    port: int = 0
    slots: int = 9
    connections: int = 110
    service_ms: float = 0.0
    cold_seconds: float = 0.0
    cold_factor: float = 5.0
    node_port: int = 0
    drain_seconds: float = 10.0


class Upstream:
    """Serve calls up to the number of slots and count executions."""

    def __init__(self, settings: UpstreamSettings) -> None:
        self.settings = settings
        self.runs = 0
        self.running_calls = 0
        self.is_leaving = False
        self.port = settings.port
        self._server: asyncio.Server | None = None
        self._started_at = 0.0
        self._loads: deque[tuple[float, float]] = deque(maxlen=10_000)
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: UpstreamConnection(self), "127.0.0.1", self.settings.port
        )
        self.port = int(self._server.sockets[0].getsockname()[1])
        self._started_at = loop.time()

    async def drain(self) -> None:
        """Reject new calls, wait for running ones, then stop.

        The wait is limited to ``drain_seconds``.
        """
        self.is_leaving = True
        loop = asyncio.get_running_loop()
        end = loop.time() + self.settings.drain_seconds
        while self.running_calls and loop.time() < end:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        self.close()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    def track(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def service_seconds(self) -> float:
        """Return how long a call takes at this time."""
        seconds = self.settings.service_ms / 1000
        age = asyncio.get_running_loop().time() - self._started_at
        if age < self.settings.cold_seconds:
            return seconds * self.settings.cold_factor
        return seconds

    def record_load(self) -> None:
        now = asyncio.get_running_loop().time()
        self._loads.append((now, self.running_calls / self.settings.slots))

    def delayed_load(self) -> float:
        """Return the load as it was ``LOAD_DELAY_SECONDS`` ago."""
        cutoff = asyncio.get_running_loop().time() - LOAD_DELAY_SECONDS
        delayed = 0.0
        for at, load in self._loads:
            if at > cutoff:
                break
            delayed = load
        return delayed


class UpstreamConnection(asyncio.Protocol):
    """Read and answer one request at a time."""

    def __init__(self, upstream: Upstream) -> None:
        self._upstream = upstream
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = b""
        self._task: asyncio.Task[None] | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast("asyncio.Transport", transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._can_write.set()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._write_answer(400, b"bad request")
            self._close()

    def pause_writing(self) -> None:
        self._can_write.clear()

    def resume_writing(self) -> None:
        self._can_write.set()

    def on_message_begin(self) -> None:
        self._target = b""
        self._headers = []
        self._body = b""

    def on_url(self, target: bytes) -> None:
        self._target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        upstream = self._upstream
        path = self._target.partition(b"?")[0]
        if path == b"/health":
            self._write_answer(200, b"ok")
            return
        if path == b"/load":
            self._write_answer(200, b"%.3f" % upstream.delayed_load())
            return
        if (
            upstream.running_calls >= upstream.settings.slots
            or upstream.is_leaving
        ):
            self._write_answer(
                503, b"full", b"rhubarbhollow-not-run: true\r\n"
            )
            return
        if b"CRASH" in self._body:
            os._exit(1)
        upstream.running_calls += 1
        upstream.runs += 1
        upstream.record_load()
        seconds = upstream.service_seconds()
        if seconds == 0 and path not in (b"/large", b"/chain"):
            self._write_echo()
            self._end()
            return
        task = asyncio.get_running_loop().create_task(
            self._serve(path, seconds)
        )
        self._task = task
        upstream.track(task)

    async def _serve(self, path: bytes, seconds: float) -> None:
        try:
            await asyncio.sleep(seconds)
            if path == b"/large":
                await self._write_large()
            elif path == b"/chain":
                await self._call_next()
            else:
                self._write_echo()
        except ConnectionError:
            self._close()
        finally:
            self._task = None
            self._end()

    def _end(self) -> None:
        self._upstream.running_calls -= 1
        self._upstream.record_load()
        if self._upstream.is_leaving:
            self._close()

    def _write_echo(self) -> None:
        upstream = self._upstream
        document = {
            "name": upstream.settings.name,
            "run": upstream.runs,
            "method": self._parser.get_method().decode(),
            "path": self._target.decode("latin-1"),
            "body": self._body.decode("latin-1"),
            "headers": [
                [name.decode("latin-1"), value.decode("latin-1")]
                for name, value in self._headers
            ],
        }
        self._write_answer(200, json.dumps(document).encode())

    def _write_answer(
        self, status: int, body: bytes, lines: bytes = b""
    ) -> None:
        upstream = self._upstream
        self._write(
            b"HTTP/1.1 %d X\r\nx-upstream: %b\r\nx-runs: %d\r\n"
            b"content-length: %d\r\n%b%b\r\n%b"
            % (
                status,
                upstream.settings.name.encode(),
                upstream.runs,
                len(body),
                self._echo_line(),
                lines,
                body,
            )
        )

    def _echo_line(self) -> bytes:
        """Return the line that repeats the id of the attempt."""
        attempt = dict(self._headers).get(b"rhubarbhollow-attempt")
        if attempt is None:
            return b""
        return b"rhubarbhollow-attempt: %b\r\n" % attempt

    async def _write_large(self) -> None:
        """Stream the number of bytes given by the query's ``bytes``."""
        remaining = self._query_integer("bytes", 1_000_000)
        self._write(
            b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n%b\r\n"
            % self._echo_line()
        )
        while remaining > 0:
            chunk = LARGE_CHUNK[:remaining]
            remaining -= len(chunk)
            self._write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
            await self._can_write.wait()
        self._write(b"0\r\n\r\n")

    async def _call_next(self) -> None:
        """Call ``levels`` levels further down through the node."""
        levels = self._query_integer("levels", 0)
        if levels <= 0:
            self._write_echo()
            return
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self._upstream.settings.node_port
        )
        try:
            writer.write(self._encode_next_call(levels - 1))
            head = await reader.readuntil(b"\r\n\r\n")
            fields = dict(
                line.split(b": ", 1) for line in head.split(b"\r\n")[1:-2]
            )
            length = int(fields.get(b"content-length", b"0"))
            body = await reader.readexactly(length)
        finally:
            writer.close()
        self._write_answer(int(head.split()[1]), body)

    def _encode_next_call(self, levels: int) -> bytes:
        """Encode the nested call with the forwarded header fields."""
        forwarded = (
            b"host",
            b"rhubarbhollow-position",
            b"rhubarbhollow-timeout-ms",
            b"rhubarbhollow-depth",
        )
        lines = b"".join(
            b"%b: %b\r\n" % field
            for field in self._headers
            if field[0] in forwarded
        )
        target = b"/chain?levels=%d" % levels
        return b"GET %b HTTP/1.1\r\n%b\r\n" % (target, lines)

    def _query_integer(self, name: str, default: int) -> int:
        query = self._target.partition(b"?")[2].decode("latin-1")
        values = urllib.parse.parse_qs(query).get(name)
        return int(values[0]) if values else default

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()


async def serve(settings: UpstreamSettings, admin_url: str | None) -> None:
    """Serve until SIGTERM or SIGINT, then leave and drain."""
    upstream = Upstream(settings)
    await upstream.start()
    print(f"listening port={upstream.port} name={settings.name}", flush=True)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    announcer = Announcer(admin_url, upstream) if admin_url else None
    if announcer is not None:
        announcer.start()
    await stopping.wait()
    if announcer is not None:
        await announcer.leave()
    await upstream.drain()


@click.command()
@click.option("--name", default="")
@click.option("--service", default="desk")
@click.option("--port", default=0)
@click.option("--slots", default=9)
@click.option("--connections", default=110)
@click.option("--service-ms", default=0.0)
@click.option("--cold-seconds", default=0.0)
@click.option(
    "--node-port", default=0, help="Caller port of the node beside it."
)
@click.option(
    "--announce", default=None, help="Admin URL of the node beside it."
)
def main(
    name: str,
    service: str,
    port: int,
    slots: int,
    connections: int,
    service_ms: float,
    cold_seconds: float,
    node_port: int,
    announce: str | None,
) -> None:
    """Run one stand-in upstream."""
    settings = UpstreamSettings(
        name or f"{service}-{os.getpid()}",
        service,
        port,
        slots,
        connections,
        service_ms,
        cold_seconds,
        node_port=node_port,
    )
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(settings, announce))


if __name__ == "__main__":
    main()

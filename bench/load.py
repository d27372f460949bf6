"""A load generator for calls at a fixed rate or at saturation.

At a fixed rate the latency of a call is measured from the time at which
it was due, not from the time at which it was sent: a slow answer also
counts against the calls that queue behind it (coordinated omission).
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import deque

import httptools
import uvloop

REQUEST = (
    b"GET /meters/1234?detail=status HTTP/1.1\r\nHost: counter-desk\r\n"
    b"User-Agent: bench/1\r\nAccept: application/json\r\n"
    b"Accept-Encoding: identity\r\n\r\n"
)


class LoadConnection(asyncio.Protocol):
    """Send one call at a time; further due calls wait in a queue."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._due_times: deque[float] = deque()
        self._due_at = 0.0
        self._is_busy = False
        self.latencies: list[float] = []
        self.failures = 0
        self.is_saturating = False

    @property
    def is_idle(self) -> bool:
        """Return whether no call is in flight or due."""
        return not self._is_busy and not self._due_times

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Feed the received bytes to the parser."""
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Record the latency of the answered call and send the next."""
        now = time.perf_counter()
        self.latencies.append(now - self._due_at)
        if self._parser.get_status_code() != 200:
            self.failures += 1
        self._is_busy = False
        if self._due_times:
            self._send(self._due_times.popleft())
        elif self.is_saturating:
            self._send(now)

    def call(self, due: float) -> None:
        """Send a call, or queue it while another one is in flight."""
        if self._is_busy:
            self._due_times.append(due)
        else:
            self._send(due)

    def _send(self, due: float) -> None:
        assert self._transport is not None
        self._is_busy = True
        self._due_at = due
        self._transport.write(REQUEST)


async def open_all(port: int, count: int) -> list[LoadConnection]:
    """Open ``count`` connections to a loopback port."""
    loop = asyncio.get_running_loop()
    return [
        (await loop.create_connection(LoadConnection, "127.0.0.1", port))[1]
        for _ in range(count)
    ]


async def run_fixed_rate(
    connections: list[LoadConnection], rate: float, seconds: float
) -> None:
    """Send each call when it is due, without waiting for answers."""
    start = time.perf_counter()
    count = int(rate * seconds)
    for number in range(count):
        due = start + number / rate
        delay = due - time.perf_counter()
        if delay > 0:
            await asyncio.sleep(delay)
        connections[number % len(connections)].call(due)
    while not all(connection.is_idle for connection in connections):  # noqa: ASYNC110
        await asyncio.sleep(0.005)


async def run_saturated(
    connections: list[LoadConnection], seconds: float
) -> None:
    """Send the next call on each connection as soon as one ends."""
    for connection in connections:
        connection.is_saturating = True
        connection.call(time.perf_counter())
    await asyncio.sleep(seconds)
    for connection in connections:
        connection.is_saturating = False
    while not all(connection.is_idle for connection in connections):  # noqa: ASYNC110
        await asyncio.sleep(0.005)


async def main(port: int, count: int, rate: float, seconds: float) -> None:
    """Warm up, wait for a line on standard input, run and report.

    A rate of 0 calls per second means saturation. The report is one
    JSON object on standard output; its times are in seconds.
    """
    connections = await open_all(port, count)
    warm_up = min(1.0, seconds)
    if rate:
        await run_fixed_rate(connections, rate, warm_up)
    else:
        await run_saturated(connections, warm_up)
    for connection in connections:
        connection.latencies.clear()
    print("ready", flush=True)
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, sys.stdin.readline)
    start = time.perf_counter()
    if rate:
        await run_fixed_rate(connections, rate, seconds)
    else:
        await run_saturated(connections, seconds)
    elapsed = time.perf_counter() - start
    latencies = sorted(
        latency
        for connection in connections
        for latency in connection.latencies
    )
    report = {
        "calls": len(latencies),
        "failures": sum(connection.failures for connection in connections),
        "elapsed": elapsed,
        "p50": latencies[len(latencies) // 2],
        "p99": latencies[int(len(latencies) * 0.99)],
    }
    print(json.dumps(report), flush=True)


if __name__ == "__main__":
    port_text, count_text, rate_text, seconds_text = sys.argv[1:]
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(
            main(
                int(port_text),
                int(count_text),
                float(rate_text),
                float(seconds_text),
            )
        )

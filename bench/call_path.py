"""The ways from a caller to an upstream, side by side."""

from __future__ import annotations

import json
import sys
from asyncio.subprocess import PIPE, create_subprocess_exec
from dataclasses import dataclass

from bench.process import MeasuredProcess


@dataclass(frozen=True, slots=True)
class ProcessCost:
    """Say what one process used for a call, and holds."""

    name: str
    processor_ms_per_call: float
    resident_megabytes: float


@dataclass(frozen=True, slots=True)
class WayResult:
    """Hold the figures of one way."""

    name: str
    p50_ms: float
    p99_ms: float
    failures: int
    costs: tuple[ProcessCost, ...]
    saturated_calls_per_second: float
    saturated_costs: tuple[ProcessCost, ...]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Hold what the load generator saw."""

    calls: int
    failures: int
    elapsed: float
    p50: float
    p99: float


class Line:
    """Processes from the upstream back to where callers come in."""

    def __init__(self) -> None:
        self.processes: list[MeasuredProcess] = []

    async def add(self, name: str, *arguments: str) -> int:
        """Start a process in front of the others; return its port."""
        process = await MeasuredProcess.start(name, *arguments)
        self.processes.insert(0, process)
        return process.port

    async def stop(self) -> None:
        """Stop what was started, also if a later one did not start."""
        for process in self.processes:
            await process.stop()


async def start_alone(line: Line) -> None:
    """Start the upstream."""
    await line.add("upstream", "bench.upstream")


async def start_library(line: Line) -> None:
    """Start uvicorn and httpcore before the upstream."""
    port = await line.add("upstream", "bench.upstream")
    await line.add("pass", "bench.pass_library", str(port))


async def start_protocol(line: Line) -> None:
    """Start the least pass-through before the upstream."""
    port = await line.add("upstream", "bench.upstream")
    await line.add("pass", "bench.pass_protocol", str(port))


async def start_beside(line: Line) -> None:
    """Start the node beside the upstream, where callers come in."""
    port = await line.add("upstream", "bench.upstream")
    await line.add("beside", "bench.node", "--upstream-port", str(port))


async def start_two(line: Line) -> None:
    """Start a caller's node, the node beside, and the upstream."""
    port = await line.add("upstream", "bench.upstream")
    arguments = ("--upstream-port", str(port), "--listen-peer")
    port = await line.add("beside", "bench.node", *arguments)
    await line.add("caller", "bench.node", "--peer-port", str(port))


WAYS = {
    "alone": start_alone,
    "uvicorn-httpcore": start_library,
    "protocols": start_protocol,
    "one-hop": start_beside,
    "two-hops": start_two,
}


async def compare_ways(
    names: tuple[str, ...],
    seconds: float,
    rate: float,
    connections: int,
    saturation_seconds: float,
) -> list[WayResult]:
    """Measure each way in turn."""
    return [
        await _measure(name, seconds, rate, connections, saturation_seconds)
        for name in WAYS
        if not names or name in names
    ]


async def _measure(
    name: str,
    seconds: float,
    rate: float,
    connections: int,
    saturation_seconds: float,
) -> WayResult:
    line = Line()
    processes = line.processes
    try:
        await WAYS[name](line)
        report, costs = await _load(processes, connections, rate, seconds)
        if saturation_seconds:
            full, full_costs = await _load(
                processes, connections, 0, saturation_seconds
            )
            saturated = full.calls / full.elapsed
        else:
            saturated, full_costs = 0.0, ()
    finally:
        await line.stop()
    return WayResult(
        name,
        report.p50 * 1000,
        report.p99 * 1000,
        report.failures,
        costs,
        saturated,
        full_costs,
    )


async def _load(
    processes: list[MeasuredProcess],
    connections: int,
    rate: float,
    seconds: float,
) -> tuple[LoadReport, tuple[ProcessCost, ...]]:
    generator = await create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.load",
        str(processes[0].port),
        str(connections),
        str(rate),
        str(seconds),
        stdin=PIPE,
        stdout=PIPE,
    )
    assert generator.stdin is not None
    assert generator.stdout is not None
    await generator.stdout.readline()
    before = [process.usage() for process in processes]
    generator.stdin.write(b"\n")
    report = LoadReport(**json.loads(await generator.stdout.readline()))
    after = [process.usage() for process in processes]
    await generator.wait()
    costs = tuple(
        ProcessCost(
            process.name,
            (end.processor_seconds - start.processor_seconds)
            * 1000
            / report.calls,
            end.resident_bytes / 1_000_000,
        )
        for process, start, end in zip(processes, before, after, strict=True)
    )
    return report, costs

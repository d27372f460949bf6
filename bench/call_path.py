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


async def start_alone() -> list[MeasuredProcess]:
    """Start the upstream."""
    return [await MeasuredProcess.start("upstream", "bench.upstream")]


async def start_library() -> list[MeasuredProcess]:
    """Start uvicorn and httpcore before the upstream."""
    return await _start_before("pass", "bench.pass_library")


async def start_protocol() -> list[MeasuredProcess]:
    """Start the least pass-through before the upstream."""
    return await _start_before("pass", "bench.pass_protocol")


async def start_beside() -> list[MeasuredProcess]:
    """Start the node beside the upstream, where callers come in."""
    upstream = await MeasuredProcess.start("upstream", "bench.upstream")
    node = await MeasuredProcess.start(
        "beside", "bench.node", "--upstream-port", str(upstream.port)
    )
    return [node, upstream]


async def start_two() -> list[MeasuredProcess]:
    """Start a caller's node, the node beside, and the upstream."""
    upstream = await MeasuredProcess.start("upstream", "bench.upstream")
    beside = await MeasuredProcess.start(
        "beside",
        "bench.node",
        "--upstream-port",
        str(upstream.port),
        "--listen-peer",
    )
    caller = await MeasuredProcess.start(
        "caller", "bench.node", "--peer-port", str(beside.port)
    )
    return [caller, beside, upstream]


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


async def _start_before(name: str, module: str) -> list[MeasuredProcess]:
    upstream = await MeasuredProcess.start("upstream", "bench.upstream")
    before = await MeasuredProcess.start(name, module, str(upstream.port))
    return [before, upstream]


async def _measure(
    name: str,
    seconds: float,
    rate: float,
    connections: int,
    saturation_seconds: float,
) -> WayResult:
    processes = await WAYS[name]()
    try:
        report, costs = await _load(processes, connections, rate, seconds)
        if saturation_seconds:
            full, full_costs = await _load(
                processes, connections, 0, saturation_seconds
            )
            saturated = full.calls / full.elapsed
        else:
            saturated, full_costs = 0.0, ()
    finally:
        for process in processes:
            await process.stop()
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

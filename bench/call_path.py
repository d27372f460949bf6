"""Latency and cost of each topology between caller and upstream."""

from __future__ import annotations

import json
import sys
from asyncio.subprocess import PIPE, create_subprocess_exec
from dataclasses import dataclass

from bench.process import MeasuredProcess


@dataclass(frozen=True, slots=True)
class ProcessCost:
    """Hold the processor time per call and the memory of a process."""

    name: str
    processor_ms_per_call: float
    resident_megabytes: float


@dataclass(frozen=True, slots=True)
class TopologyResult:
    """Hold the latency, the throughput and the cost of a topology."""

    name: str
    p50_ms: float
    p99_ms: float
    failures: int
    costs: tuple[ProcessCost, ...]
    saturated_calls_per_second: float
    saturated_costs: tuple[ProcessCost, ...]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Hold the result of ``bench.load``; all times are in seconds."""

    calls: int
    failures: int
    elapsed: float
    p50: float
    p99: float


class ProcessChain:
    """Run the processes of a topology; callers connect to the first."""

    def __init__(self) -> None:
        self.processes: list[MeasuredProcess] = []

    async def add(self, name: str, *arguments: str) -> int:
        """Start a process in front of the others; return its port."""
        process = await MeasuredProcess.start(name, *arguments)
        self.processes.insert(0, process)
        return process.port

    async def stop(self) -> None:
        """Stop all processes, even if a later one did not start."""
        for process in self.processes:
            await process.stop()


async def start_upstream(chain: ProcessChain) -> None:
    """Start the upstream without a proxy."""
    await chain.add("upstream", "bench.upstream")


async def start_library_proxy(chain: ProcessChain) -> None:
    """Start a proxy of uvicorn and httpcore before the upstream."""
    port = await chain.add("upstream", "bench.upstream")
    await chain.add("pass", "bench.library_proxy", str(port))


async def start_minimal_proxy(chain: ProcessChain) -> None:
    """Start the minimal proxy before the upstream."""
    port = await chain.add("upstream", "bench.upstream")
    await chain.add("pass", "bench.minimal_proxy", str(port))


async def start_one_hop(chain: ProcessChain) -> None:
    """Start the upstream's node, which accepts the callers."""
    port = await chain.add("upstream", "bench.upstream")
    await chain.add("beside", "bench.node", "--upstream-port", str(port))


async def start_two_hops(chain: ProcessChain) -> None:
    """Start the caller's node, the upstream's node and the upstream."""
    port = await chain.add("upstream", "bench.upstream")
    arguments = ("--upstream-port", str(port), "--listen-peer")
    port = await chain.add("beside", "bench.node", *arguments)
    await chain.add("caller", "bench.node", "--peer-port", str(port))


TOPOLOGIES = {
    "alone": start_upstream,
    "uvicorn-httpcore": start_library_proxy,
    "protocols": start_minimal_proxy,
    "one-hop": start_one_hop,
    "two-hops": start_two_hops,
}


async def compare_topologies(
    names: tuple[str, ...],
    seconds: float,
    rate: float,
    connections: int,
    saturation_seconds: float,
) -> list[TopologyResult]:
    """Measure the named topologies in turn, or all if none is named."""
    return [
        await _measure_topology(
            name, seconds, rate, connections, saturation_seconds
        )
        for name in TOPOLOGIES
        if not names or name in names
    ]


async def _measure_topology(
    name: str,
    seconds: float,
    rate: float,
    connections: int,
    saturation_seconds: float,
) -> TopologyResult:
    chain = ProcessChain()
    processes = chain.processes
    try:
        await TOPOLOGIES[name](chain)
        report, costs = await _run_load(processes, connections, rate, seconds)
        if saturation_seconds:
            saturated_report, saturated_costs = await _run_load(
                processes, connections, 0, saturation_seconds
            )
            saturated_rate = saturated_report.calls / saturated_report.elapsed
        else:
            saturated_rate, saturated_costs = 0.0, ()
    finally:
        await chain.stop()
    return TopologyResult(
        name,
        report.p50 * 1000,
        report.p99 * 1000,
        report.failures,
        costs,
        saturated_rate,
        saturated_costs,
    )


async def _run_load(
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

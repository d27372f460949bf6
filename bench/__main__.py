"""Command line of the benchmarks: ``python -m bench [COMMAND]``."""

from __future__ import annotations

import asyncio

import click
import uvloop

from bench.admission_report import print_admission
from bench.call_path import compare_topologies
from bench.change_cost import run_change_cost
from bench.distribution import measure_size
from bench.distribution_figures import (
    print_size,
    print_slopes,
    print_state,
)
from bench.distribution_state import measure_state
from bench.policy_trial import print_policy
from bench.report import print_rows

STATE_ENDPOINTS = 2_000


@click.group(invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """Run one benchmark or, without a command, all but change-cost."""
    if context.invoked_subcommand is None:
        context.invoke(call_path)
        context.invoke(policy)
        context.invoke(distribution)


@main.command("call-path")
@click.option(
    "--seconds", default=10.0, help="Duration of the fixed-rate run."
)
@click.option("--rate", default=225.0, help="Calls per second in total.")
@click.option("--connections", default=5)
@click.option("--saturation-seconds", default=4.0)
@click.option("--only", default="", help="Comma-separated topologies.")
def call_path(
    seconds: float = 10.0,
    rate: float = 225.0,
    connections: int = 5,
    saturation_seconds: float = 4.0,
    only: str = "",
) -> None:
    """Compare the latency and cost of paths to an upstream."""
    names = tuple(name for name in only.split(",") if name)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        rows = runner.run(
            compare_topologies(
                names, seconds, rate, connections, saturation_seconds
            )
        )
    print_rows(rows)


@main.command()
@click.option(
    "--nodes", default="10,30,100", help="Comma-separated node counts."
)
@click.option("--controls", default=3, help="Control instances, 3 to 9.")
@click.option("--coalescing-ms", default=5)
@click.option("--heartbeat-ms", default=500)
@click.option("--lease-ms", default=2000)
@click.option(
    "--crowded",
    is_flag=True,
    help="Connect every node to one control instance.",
)
def distribution(
    nodes: str,
    controls: int,
    coalescing_ms: int,
    heartbeat_ms: int,
    lease_ms: int,
    crowded: bool,
) -> None:
    """Measure convergence time and control cost of a fleet."""
    settings = {
        "coalescing_ms": coalescing_ms,
        "heartbeat_ms": heartbeat_ms,
        "lease_ms": lease_ms,
    }
    print_state(STATE_ENDPOINTS, tuple(measure_state(STATE_ENDPOINTS)))
    sizes = {}
    for node_count in map(int, nodes.split(",")):
        sizes[node_count] = measure_size(
            node_count,
            settings,
            control_count=controls,
            is_colocated=crowded,
        )
        print_size(node_count, sizes[node_count])
    if len(sizes) > 1:
        print_slopes(sizes)


@main.command("change-cost")
@click.option("--tenants", default=0, help="Tenants, one of which changes.")
def change_cost(tenants: int = 0) -> None:
    """Measure the cost of one change to a large configuration."""
    for step, spent_ms in run_change_cost(tenants).items():
        click.echo(f"{step:15} {spent_ms:8.2f} ms")


@main.command()
def policy() -> None:
    """Compare the call policy with a naive one in simulation."""
    print_policy()


@main.command()
@click.option("--seeds", default=2, help="Runs of each load and policy.")
@click.option("--only", default="", help="Part of the name of a load.")
def admission(seeds: int, only: str) -> None:
    """Compare policies of the gate beside an upstream."""
    print_admission(seeds, only)


if __name__ == "__main__":
    main()

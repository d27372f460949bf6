"""Run benchmarks: ``python -m bench [call-path]``."""

from __future__ import annotations

import asyncio

import click
import uvloop

from bench.call_path import compare_ways
from bench.report import print_rows


@click.group(invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """Measure against the upstream alone, in one run."""
    if context.invoked_subcommand is None:
        context.invoke(call_path)


@main.command("call-path")
@click.option("--seconds", default=10.0, help="Length of each fixed rate.")
@click.option("--rate", default=225.0, help="Calls a second in all.")
@click.option("--connections", default=5)
@click.option("--saturation-seconds", default=4.0)
@click.option("--only", default="", help="Ways to run, by commas.")
def call_path(
    seconds: float = 10.0,
    rate: float = 225.0,
    connections: int = 5,
    saturation_seconds: float = 4.0,
    only: str = "",
) -> None:
    """Compare the ways from a caller to an upstream."""
    names = tuple(name for name in only.split(",") if name)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        rows = runner.run(
            compare_ways(names, seconds, rate, connections, saturation_seconds)
        )
    print_rows(rows)


if __name__ == "__main__":
    main()

"""Soak test: long seeded runs against reference models.

Each run starts from a seed, checks the program's invariants on the way
and compares the result with a naive model of the same component. A
failing run prints its name, its seed and the command that repeats it.
"""

from __future__ import annotations

import importlib
import logging
import sys
import time
import traceback
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Final

import click
import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

REPOSITORY: Final = Path(__file__).resolve().parent.parent
TRACE_FRAMES: Final = 6
REPLICATION_STEPS: Final = 3_000
SECONDS_PER_MINUTE: Final = 60


@dataclass(frozen=True, slots=True)
class SeededRun:
    """Name a run and the test function that performs it."""

    name: str
    package: str
    module: str
    function: str
    arguments: tuple[int, ...] = ()

    def load(self) -> Callable[..., object]:
        """Import the function from the package's tests."""
        folder = REPOSITORY / "packages" / self.package / "tests"
        sys.path.insert(0, str(folder))
        try:
            module = importlib.import_module(self.module)
        finally:
            sys.path.remove(str(folder))
        function: Callable[..., object] = getattr(module, self.function)
        return function


RUNS: Final = (
    SeededRun(
        "replication",
        "replication",
        "seeded_run",
        "run_seed",
        (REPLICATION_STEPS,),
    ),
    SeededRun(
        "ledger",
        "release",
        "test_ledger",
        "run_history",
    ),
    SeededRun("mesh", "distribution", "test_mesh_machine", "run_long"),
    SeededRun(
        "calls",
        "calls",
        "test_io_random",
        "run_calls",
    ),
)


@click.command()
@click.option("--seed", default=1, help="First seed; each round adds one.")
@click.option(
    "--minutes", default=1.0, help="Time after which no new round starts."
)
@click.option(
    "--only",
    type=click.Choice([run.name for run in RUNS]),
    help="Perform only this run, once.",
)
def main(seed: int, minutes: float, only: str | None) -> None:
    """Run one seed after another until the time is up or one fails."""
    sys.path.insert(0, str(REPOSITORY))
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.CRITICAL,
        ),
    )
    selected = [run for run in RUNS if only in (None, run.name)]
    functions = {run: run.load() for run in selected}
    counts = dict.fromkeys(selected, 0)
    deadline = time.monotonic() + minutes * SECONDS_PER_MINUTE
    current_seed = seed
    while time.monotonic() < deadline:
        for run, function in functions.items():
            if not _succeeds(run, function, current_seed):
                sys.exit(1)
            counts[run] += 1
        if only is not None:
            break
        current_seed += 1
    for run, count in counts.items():
        click.echo(f"{run.name}: {count} seeds from {seed}, none failed")


def _succeeds(
    run: SeededRun,
    function: Callable[..., object],
    seed: int,
) -> bool:
    try:
        function(seed, *run.arguments)
    except Exception:
        click.echo(f"{run.name}: seed {seed} failed")
        click.echo(traceback.format_exc(limit=-TRACE_FRAMES))
        click.echo(
            f"to repeat: python tools/soak.py --only {run.name} --seed {seed}"
        )
        return False
    return True


if __name__ == "__main__":
    main()

"""The table that the admission trial prints."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from bench.admission_figures import Outcome
from bench.admission_gates import POLICIES
from bench.admission_loads import LOADS
from bench.admission_trial import Trial

if TYPE_CHECKING:
    from bench.admission_loads import Load


def play(load: Load, policy: str, seeds: range) -> Outcome:
    """Return the sum of the outcomes over ``seeds``."""
    outcome = Outcome()
    for seed in seeds:
        outcome.add(Trial(load, policy, seed).run())
    return outcome


def print_admission(seeds: int, only: str) -> None:
    """Print the figures of all loads and policies."""
    for load in LOADS:
        if only and only not in load.name:
            continue
        click.echo(f"\n{load.name}")
        for policy in POLICIES:
            outcome = play(load, policy, range(seeds))
            total = outcome.total
            routes = " ".join(
                f"{name}={figures.served:.2f}/{figures.value:.2f}"
                for name, figures in (
                    *outcome.by_route.items(),
                    *sorted(outcome.by_tenant.items()),
                )
            )
            click.echo(
                f"{policy:9} value {total.value:.3f}"
                f" on time {total.share(total.on_time):.3f}"
                f" late {total.share(total.late):.3f}"
                f" rejected {total.share(total.rejected):.3f}"
                f" 504 {total.share(total.timed_out):.3f}"
                f" held {total.share(total.held):.3f}"
                f" again {total.share(total.failed_again):.3f}"
                f" wasted {total.share(total.wasted):.3f}"
                f" after {outcome.after_surge.value:.2f}"
                f" | {routes} | {outcome.faults(load.mesh)}"
            )

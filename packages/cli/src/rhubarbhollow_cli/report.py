"""Reports on what was promised to callers."""

from __future__ import annotations

import click

from rhubarbhollow_cli.burn_view import BurnView
from rhubarbhollow_cli.query import show_command


@click.group("report")
def report() -> None:
    """Report on service-level objectives."""


report.add_command(
    show_command(
        "burn",
        "Show how fast each service uses up its error budget.",
        "/v1/burn",
        BurnView(),
    ),
)

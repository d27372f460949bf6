"""The command that prints the version."""

from __future__ import annotations

from importlib.metadata import version as version_of
from typing import Final

import click

from rhubarbhollow_cli.options import output_option
from rhubarbhollow_cli.output import OutputFormat, print_document

DISTRIBUTION: Final = "rhubarbhollow-cli"


@click.command()
@output_option
def version(output: OutputFormat) -> None:
    """Show the version of this program."""
    print_document({"version": version_of(DISTRIBUTION)}, output)

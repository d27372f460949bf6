"""The command that prints shell completion scripts."""

from __future__ import annotations

from typing import Final

import click
from click.shell_completion import ShellComplete, get_completion_class

PROGRAM: Final = "rhubarbhollow"
COMPLETE_VARIABLE: Final = "_RHUBARBHOLLOW_COMPLETE"


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Print the completion script for a SHELL to source."""
    complete_class = get_completion_class(shell)
    if complete_class is None:
        raise click.UsageError(f"no completion available for shell {shell}")
    root = context.find_root().command
    complete = complete_class(root, {}, PROGRAM, COMPLETE_VARIABLE)
    # The method of the bash class would run bash to find its version.
    click.echo(ShellComplete.source(complete))

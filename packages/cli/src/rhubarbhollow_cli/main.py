"""The ``rhubarbhollow`` program."""

from __future__ import annotations

import click

from rhubarbhollow_cli.approve import approve
from rhubarbhollow_cli.completion import (
    COMPLETE_VARIABLE,
    PROGRAM,
    completion,
)
from rhubarbhollow_cli.environment import system_environment
from rhubarbhollow_cli.explain import explain
from rhubarbhollow_cli.fleet_commands import (
    nodes,
    releases,
    status,
    upstreams,
)
from rhubarbhollow_cli.keygen import keygen
from rhubarbhollow_cli.logs import configure_logs
from rhubarbhollow_cli.report import report
from rhubarbhollow_cli.rollout import rollout
from rhubarbhollow_cli.submit import submit
from rhubarbhollow_cli.tenant import tenant
from rhubarbhollow_cli.validate import validate
from rhubarbhollow_cli.version import version
from rhubarbhollow_cli.withdraw import withdraw


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--verbose",
    "is_verbose",
    is_flag=True,
    help="Log each failed attempt to the standard error.",
)
@click.pass_context
def cli(context: click.Context, *, is_verbose: bool) -> None:
    """Submit approved releases to a mesh and monitor them.

    Exit codes: 0 done, 2 usage or bad input, 3 refused, 4 conflict,
    5 unreachable, unknown outcome, invalid reply, or accepted but not
    seen in force before the deadline.
    """
    configure_logs(is_verbose=is_verbose)
    context.obj = context.obj or system_environment()


for _command in (
    approve,
    completion,
    explain,
    keygen,
    nodes,
    releases,
    report,
    rollout,
    status,
    submit,
    tenant,
    upstreams,
    validate,
    version,
    withdraw,
):
    cli.add_command(_command)


def main() -> None:
    """Run the program."""
    cli(prog_name=PROGRAM, complete_var=COMPLETE_VARIABLE)

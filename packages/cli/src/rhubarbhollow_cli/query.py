"""Construction of commands that query a server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from rhubarbhollow_cli.options import (
    READ_TIMEOUT_SECONDS,
    output_option,
    servers_option,
    timeout_option,
)
from rhubarbhollow_cli.session import Session, open_session

if TYPE_CHECKING:
    from collections.abc import Callable

    from rhubarbhollow_cli.environment import Environment
    from rhubarbhollow_cli.output import OutputFormat
    from rhubarbhollow_cli.server_address import ServerAddress
    from rhubarbhollow_cli.view import DocumentView


def query_command(
    name: str,
    short_help: str,
    run: Callable[..., None],
    *arguments: click.Parameter,
) -> click.Command:
    """Build a command that calls ``run(session, **arguments)``."""

    @click.command(name, help=short_help)
    @servers_option
    @timeout_option(READ_TIMEOUT_SECONDS)
    @output_option
    @click.pass_obj
    def command(
        environment: Environment,
        /,
        servers: tuple[ServerAddress, ...],
        timeout_seconds: float,
        output: OutputFormat,
        **values: str | None,
    ) -> None:
        session = open_session(environment, servers, timeout_seconds, output)
        run(session, **values)

    command.params[:0] = arguments
    return command


def show_command(
    name: str,
    short_help: str,
    target: str,
    view: DocumentView | None = None,
) -> click.Command:
    """Build a command that prints the document at a fixed target."""

    def run(session: Session) -> None:
        session.show(target, view)

    return query_command(name, short_help, run)

"""Options shared by several commands."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, TypeVar

import click
from result import Err

from rhubarbhollow_cli.output import OutputFormat
from rhubarbhollow_cli.server_address import ServerAddress, parse_server

Command = TypeVar("Command", bound=Callable[..., Any])

SERVERS_VARIABLE: Final = "RHUBARBHOLLOW_SERVERS"
READ_TIMEOUT_SECONDS: Final = 10.0
SUBMIT_TIMEOUT_SECONDS: Final = 60.0
MIN_TIMEOUT_SECONDS: Final = 0.1
MAX_TIMEOUT_SECONDS: Final = 3600.0


class ServerParameter(click.ParamType[ServerAddress]):
    """Parameter type for the URL of a server."""

    name = "url"

    def convert(
        self,
        value: str | ServerAddress,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> ServerAddress:
        """Return the address, or fail with a usage error."""
        if isinstance(value, ServerAddress):
            return value
        parsed = parse_server(value)
        if isinstance(parsed, Err):
            fault = parsed.err_value
            self.fail(f"{fault.text}: {fault.detail}", param, ctx)
        return parsed.ok_value


FILE: Final = click.Path(exists=True, dir_okay=False, path_type=Path)
NEW_FILE: Final = click.Path(dir_okay=False, path_type=Path)

output_option = click.option(
    "--output",
    type=click.Choice(OutputFormat, case_sensitive=False),
    default=OutputFormat.TABLE,
    show_default=OutputFormat.TABLE.value,
    help="Output format.",
)

servers_option = click.option(
    "--server",
    "servers",
    type=ServerParameter(),
    multiple=True,
    required=True,
    envvar=SERVERS_VARIABLE,
    show_envvar=True,
    help="Admin port, http://IP:PORT; may be repeated to fail over.",
)


def timeout_option(
    default_seconds: float,
) -> Callable[[Command], Command]:
    """Return the option that limits the duration of a command."""
    return click.option(
        "--timeout",
        "timeout_seconds",
        type=click.FloatRange(MIN_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS),
        default=default_seconds,
        show_default=True,
        help="Time limit of the whole command, in seconds.",
    )

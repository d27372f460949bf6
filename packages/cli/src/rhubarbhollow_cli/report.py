"""Commands that report on service-level objectives."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click
from result import Err, Ok, Result

from rhubarbhollow_cli.burn_page import format_burn_page
from rhubarbhollow_cli.burn_report import read_burn_report
from rhubarbhollow_cli.burn_view import BurnView
from rhubarbhollow_cli.client_fault import BadReply
from rhubarbhollow_cli.files import write_file
from rhubarbhollow_cli.options import (
    NEW_FILE,
    READ_TIMEOUT_SECONDS,
    output_option,
    servers_option,
    timeout_option,
)
from rhubarbhollow_cli.output import OutputFormat, print_document
from rhubarbhollow_cli.session import Session, open_session

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

    from rhubarbhollow_cli.burn_report import BurnReport
    from rhubarbhollow_cli.environment import Environment
    from rhubarbhollow_cli.server_address import ServerAddress


@click.group("report")
def report() -> None:
    """Report on service-level objectives."""


@report.command("burn")
@click.option(
    "--html",
    "html_file",
    type=NEW_FILE,
    help="Also write the report as a page with plots; replaces FILE.",
    metavar="FILE",
)
@servers_option
@timeout_option(READ_TIMEOUT_SECONDS)
@output_option
@click.pass_obj
def burn(
    environment: Environment,
    html_file: Path | None,
    servers: tuple[ServerAddress, ...],
    timeout_seconds: float,
    output: OutputFormat,
) -> None:
    """Show how fast each service uses up its error budget."""
    session = open_session(environment, servers, timeout_seconds, output)
    result = session.client.get_json("/v1/burn", session.deadline)
    document = session.require(result)
    if html_file is not None:
        burn_report = session.require(_read_report(session, document))
        page = format_burn_page(burn_report, environment.clock.utc())
        session.require(write_file(html_file, page.encode()))
    print_document(document, output, BurnView())


def _read_report(
    session: Session,
    document: Mapping[str, object],
) -> Result[BurnReport, BadReply]:
    read = read_burn_report(document)
    if isinstance(read, Err):
        server = session.client.preferred
        return Err(BadReply(server, f"invalid field {read.err_value.field}"))
    return Ok(read.ok_value)

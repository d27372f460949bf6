"""The commands that order a rollout and show its state."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from urllib.parse import quote

import click

from rhubarbhollow_cli.exchange import Request
from rhubarbhollow_cli.options import (
    READ_TIMEOUT_SECONDS,
    SUBMIT_TIMEOUT_SECONDS,
    output_option,
    servers_option,
    timeout_option,
)
from rhubarbhollow_cli.output import print_document
from rhubarbhollow_cli.session import open_session

if TYPE_CHECKING:
    from rhubarbhollow_cli.environment import Environment
    from rhubarbhollow_cli.output import OutputFormat
    from rhubarbhollow_cli.server_address import ServerAddress


@click.group()
def rollout() -> None:
    """Move a service to upstreams of a new version."""


@rollout.command()
@click.argument("service")
@click.argument("new_version")
@click.option(
    "--duration",
    "duration_seconds",
    type=click.FloatRange(min=0, min_open=True),
    required=True,
    help="Seconds until the verdict at the latest.",
)
@servers_option
@timeout_option(SUBMIT_TIMEOUT_SECONDS)
@output_option
@click.pass_obj
def start(
    environment: Environment,
    service: str,
    new_version: str,
    duration_seconds: float,
    servers: tuple[ServerAddress, ...],
    timeout_seconds: float,
    output: OutputFormat,
) -> None:
    """Order a rollout of SERVICE to NEW_VERSION.

    The same order can be given again, at any server.
    """
    session = open_session(environment, servers, timeout_seconds, output)
    body = json.dumps(
        {
            "service": service,
            "new_version": new_version,
            "duration_seconds": duration_seconds,
        }
    ).encode()
    request = Request("POST", "/v1/rollouts", body)
    reply = session.client.call_json(request, session.deadline)
    print_document(session.require(reply), output, None)


@rollout.command("status")
@click.argument("service")
@servers_option
@timeout_option(READ_TIMEOUT_SECONDS)
@output_option
@click.pass_obj
def show_status(
    environment: Environment,
    service: str,
    servers: tuple[ServerAddress, ...],
    timeout_seconds: float,
    output: OutputFormat,
) -> None:
    """Show the latest rollout of SERVICE."""
    session = open_session(environment, servers, timeout_seconds, output)
    session.show(f"/v1/rollouts/{quote(service, safe='')}")

"""The command that submits an approved manifest."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING

import click
from result import Err, Ok, Result

from rhubarbhollow_cli.files import read_file
from rhubarbhollow_cli.manifest_file import ManifestFile, read_manifest
from rhubarbhollow_cli.options import (
    FILE,
    SUBMIT_TIMEOUT_SECONDS,
    output_option,
    servers_option,
    timeout_option,
)
from rhubarbhollow_cli.output import (
    OutputFormat,
    print_document,
    print_progress,
)
from rhubarbhollow_cli.session import Session, open_session
from rhubarbhollow_cli.submission import submit_release, wait_in_force
from rhubarbhollow_release.approval import Approval, check_terms
from rhubarbhollow_release.approval_codec import decode_approval

if TYPE_CHECKING:
    from pathlib import Path

    from rhubarbhollow_cli.environment import Environment
    from rhubarbhollow_cli.input_fault import InputFault
    from rhubarbhollow_cli.replies import FleetStatus
    from rhubarbhollow_cli.server_address import ServerAddress
    from rhubarbhollow_release.approval_fault import ApprovalFault


@click.command()
@click.argument("file", type=FILE)
@click.option(
    "--approval",
    "approval_file",
    type=FILE,
    required=True,
    help="The approval that was signed for FILE.",
)
@click.option(
    "--wait/--no-wait",
    "is_waiting",
    default=True,
    show_default=True,
    help="Wait until the release is in force on all nodes.",
)
@servers_option
@timeout_option(SUBMIT_TIMEOUT_SECONDS)
@output_option
@click.pass_obj
def submit(
    environment: Environment,
    file: Path,
    approval_file: Path,
    is_waiting: bool,
    servers: tuple[ServerAddress, ...],
    timeout_seconds: float,
    output: OutputFormat,
) -> None:
    """Submit the manifest in FILE with its approval.

    Submitting the same files again is safe: the first answer is
    returned again.
    """
    session = open_session(environment, servers, timeout_seconds, output)
    manifest = session.require(read_manifest(file))
    approval = session.require(read_approval_file(approval_file, manifest))
    submit_and_show(session, manifest, approval, is_waiting=is_waiting)


def submit_and_show(
    session: Session,
    manifest: ManifestFile,
    approval: Approval,
    *,
    is_waiting: bool,
) -> None:
    """Submit a release, optionally wait, and print the result."""
    client, deadline = session.client, session.deadline

    def show(status: FleetStatus) -> None:
        _show_progress(status, session.output)

    reply = session.require(
        submit_release(client, manifest.document, approval, deadline),
    )
    document = asdict(reply)
    if is_waiting:
        text = f"{reply.outcome} at position {reply.position}"
        print_progress(document, text, session.output)
        status = session.require(
            wait_in_force(client, reply.position, deadline, show),
        )
        document["nodes_in_force"] = status.nodes_in_force
        document["nodes_known"] = status.nodes_known
    print_document(document, session.output)


def read_approval_file(
    path: Path,
    manifest: ManifestFile,
) -> Result[Approval, InputFault | ApprovalFault]:
    """Read an approval and check that it matches the manifest."""
    data = read_file(path)
    if isinstance(data, Err):
        return data
    approval = decode_approval(data.ok_value)
    if isinstance(approval, Err):
        return approval
    terms = check_terms(
        approval.ok_value,
        mesh=manifest.manifest.mesh,
        version=manifest.manifest.version,
        digest=manifest.digest,
    )
    return terms if isinstance(terms, Err) else Ok(approval.ok_value)


def _show_progress(status: FleetStatus, output: OutputFormat) -> None:
    text = (
        f"position {status.active_position} is active, "
        f"on {status.nodes_in_force} of {status.nodes_known} nodes"
    )
    print_progress(asdict(status), text, output)

"""The command that rolls back to the content of an older release."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import click
from result import Err, Ok, Result

from rhubarbhollow_cli.approve import approve_manifest, read_key
from rhubarbhollow_cli.client_fault import BadReply, ClientFault
from rhubarbhollow_cli.exchange import Request
from rhubarbhollow_cli.files import create_file
from rhubarbhollow_cli.input_fault import InputFault, InputFaultKind
from rhubarbhollow_cli.manifest_file import (
    ManifestFile,
    load_manifest,
    read_manifest,
)
from rhubarbhollow_cli.options import (
    FILE,
    NEW_FILE,
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
from rhubarbhollow_cli.replies import read_highest_version
from rhubarbhollow_cli.session import Session, open_session
from rhubarbhollow_cli.submit import submit_and_show
from rhubarbhollow_cli.table import format_fields
from rhubarbhollow_release.canonical import canonical_bytes
from rhubarbhollow_release.field_checks import MAX_VERSION

if TYPE_CHECKING:
    from pathlib import Path

    from rhubarbhollow_cli.environment import Environment
    from rhubarbhollow_cli.server_address import ServerAddress


@click.command()
@click.option(
    "--to-position",
    type=click.IntRange(min=1),
    help="Take the content of the release at this position.",
)
@click.option(
    "--manifest",
    "manifest_file",
    type=FILE,
    help="Take the content of this manifest.",
)
@click.option(
    "--version",
    "version",
    type=click.IntRange(1, MAX_VERSION),
    help="The new version; by default one above the highest accepted one.",
)
@click.option(
    "--out",
    type=NEW_FILE,
    help="New file for the manifest, to be approved and submitted.",
)
@click.option(
    "--key",
    "key_file",
    type=FILE,
    help="Approve with this private key and submit at once.",
)
@click.option(
    "--wait/--no-wait",
    "is_waiting",
    default=True,
    show_default=True,
    help="With --key, wait until the release is in force on all nodes.",
)
@servers_option
@timeout_option(SUBMIT_TIMEOUT_SECONDS)
@output_option
@click.pass_obj
def withdraw(
    environment: Environment,
    to_position: int | None,
    manifest_file: Path | None,
    version: int | None,
    out: Path | None,
    key_file: Path | None,
    is_waiting: bool,
    servers: tuple[ServerAddress, ...],
    timeout_seconds: float,
    output: OutputFormat,
) -> None:
    """Build a new release from an older release's content.

    A withdrawal is an ordinary release: it needs a higher version and a
    new approval.
    """
    if (to_position is None) == (manifest_file is None):
        raise click.UsageError("expected either --to-position or --manifest")
    if out is None and key_file is None:
        raise click.UsageError("expected --out, --key or both")
    session = open_session(environment, servers, timeout_seconds, output)
    if manifest_file is not None:
        older = session.require(read_manifest(manifest_file))
    else:
        older = _fetch_manifest(session, to_position or 0)
    manifest = session.require(_assign_version(session, older, version))
    if out is not None:
        session.require(create_file(out, manifest.document + b"\n"))
    if key_file is None:
        document = {**manifest.summarize(), "manifest": str(out)}
        print_document(document, output)
        return
    key = session.require(read_key(key_file))
    approval = approve_manifest(manifest, key)
    summary = manifest.summarize()
    print_progress(summary, format_fields(summary), output)
    submit_and_show(session, manifest, approval, is_waiting=is_waiting)


def _fetch_manifest(session: Session, position: int) -> ManifestFile:
    target = f"/v1/releases/{position}/manifest"
    reply = session.client.call(Request("GET", target), session.deadline)
    document = session.require(reply).body
    return session.require(load_manifest(document))


def _assign_version(
    session: Session,
    older: ManifestFile,
    version: int | None,
) -> Result[ManifestFile, ClientFault | InputFault]:
    """Return the manifest with a version above all accepted ones."""
    highest = _fetch_highest_version(session)
    if isinstance(highest, Err):
        return highest
    lowest = max(highest.ok_value, older.manifest.version) + 1
    chosen = version or lowest
    if not lowest <= chosen <= MAX_VERSION:
        detail = f"expected {lowest} to {MAX_VERSION}, got {chosen}"
        kind = InputFaultKind.VERSION_RANGE
        return Err(InputFault(kind, "--version", detail))
    manifest = replace(older.manifest, version=chosen)
    return Ok(ManifestFile(canonical_bytes(manifest), manifest))


def _fetch_highest_version(session: Session) -> Result[int, ClientFault]:
    client = session.client
    document = client.get_json("/v1/releases", session.deadline)
    if isinstance(document, Err):
        return document
    highest = read_highest_version(document.ok_value)
    if isinstance(highest, Err):
        detail = f"invalid field {highest.err_value.field}"
        return Err(BadReply(client.preferred, detail))
    return highest

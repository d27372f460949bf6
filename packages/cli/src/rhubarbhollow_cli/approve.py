"""The command that signs a manifest."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click
from result import Err, Result

from rhubarbhollow_cli.files import create_file, read_file
from rhubarbhollow_cli.manifest_file import ManifestFile, read_manifest
from rhubarbhollow_cli.options import FILE, NEW_FILE, output_option
from rhubarbhollow_cli.output import (
    OutputFormat,
    print_document,
    print_progress,
)
from rhubarbhollow_cli.session import require
from rhubarbhollow_cli.table import format_fields
from rhubarbhollow_release.approval import Approval, sign_approval
from rhubarbhollow_release.approval_codec import encode_approval
from rhubarbhollow_release.keys import KeyFault, load_private_key

if TYPE_CHECKING:
    from pathlib import Path

    from cryptography.hazmat.primitives.asymmetric.ed25519 import (
        Ed25519PrivateKey,
    )

    from rhubarbhollow_cli.input_fault import InputFault


@click.command()
@click.argument("file", type=FILE)
@click.option(
    "--key",
    "key_file",
    type=FILE,
    required=True,
    help="The approver's private key.",
)
@click.option(
    "--out",
    type=NEW_FILE,
    help="New file for the approval; the standard output without it.",
)
@output_option
def approve(
    file: Path,
    key_file: Path,
    out: Path | None,
    output: OutputFormat,
) -> None:
    """Sign the manifest in FILE for its mesh and version.

    The approval is a JSON document on the standard output, and a
    summary of the manifest goes to the standard error.  With --out, the
    approval goes to that file and the summary to the standard output.
    """
    manifest = require(read_manifest(file), output)
    key = require(read_key(key_file), output)
    approval = approve_manifest(manifest, key)
    summary = {**manifest.summarize(), "key_id": approval.key_id}
    if out is None:
        print_progress(summary, format_fields(summary), output)
        click.echo(encode_approval(approval))
        return
    require(create_file(out, encode_approval(approval) + b"\n"), output)
    print_document({**summary, "approval": str(out)}, output)


def read_key(
    path: Path,
) -> Result[Ed25519PrivateKey, InputFault | KeyFault]:
    """Read a private key from a PEM file."""
    pem = read_file(path)
    if isinstance(pem, Err):
        return pem
    return load_private_key(pem.ok_value)


def approve_manifest(
    manifest: ManifestFile,
    key: Ed25519PrivateKey,
) -> Approval:
    """Sign a manifest for its mesh and version."""
    return sign_approval(
        key,
        manifest.manifest.mesh,
        manifest.manifest.version,
        manifest.digest,
    )

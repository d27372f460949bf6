"""The command that creates a key pair."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from rhubarbhollow_cli.files import PRIVATE_MODE, create_file
from rhubarbhollow_cli.options import NEW_FILE, output_option
from rhubarbhollow_cli.output import OutputFormat, print_document
from rhubarbhollow_cli.session import require
from rhubarbhollow_release.key_id import key_id_of
from rhubarbhollow_release.keys import (
    generate_key,
    store_private_key,
    store_public_key,
)

if TYPE_CHECKING:
    from pathlib import Path


@click.command()
@click.argument("file", type=NEW_FILE)
@output_option
def keygen(file: Path, output: OutputFormat) -> None:
    """Create an approval key in FILE and its public key in FILE.pub.

    Existing files are never overwritten.
    """
    key = generate_key()
    public_file = file.with_name(f"{file.name}.pub")
    private_pem = store_private_key(key)
    require(create_file(file, private_pem, PRIVATE_MODE), output)
    public_pem = store_public_key(key.public_key())
    require(create_file(public_file, public_pem), output)
    document = {
        "key_id": key_id_of(key.public_key()),
        "private_key": str(file),
        "public_key": str(public_file),
    }
    print_document(document, output)

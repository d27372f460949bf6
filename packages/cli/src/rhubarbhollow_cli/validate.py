"""The command that checks a manifest."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from rhubarbhollow_cli.manifest_file import read_manifest
from rhubarbhollow_cli.options import FILE, output_option
from rhubarbhollow_cli.output import OutputFormat, print_document
from rhubarbhollow_cli.session import require

if TYPE_CHECKING:
    from pathlib import Path


@click.command()
@click.argument("file", type=FILE)
@output_option
def validate(file: Path, output: OutputFormat) -> None:
    """Check the manifest in FILE and list its faults by path."""
    manifest = require(read_manifest(file), output)
    print_document(manifest.summarize(), output)

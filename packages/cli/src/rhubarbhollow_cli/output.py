"""Printing of results in the requested format."""

from __future__ import annotations

import json
from enum import StrEnum
from typing import TYPE_CHECKING

import click

from rhubarbhollow_cli.view import View

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rhubarbhollow_cli.view import DocumentView


class OutputFormat(StrEnum):
    """Output format of a command."""

    TABLE = "table"
    JSON = "json"


def print_document(
    document: Mapping[str, object],
    output: OutputFormat,
    view: DocumentView | None = None,
) -> None:
    """Print a document to the standard output."""
    if output is OutputFormat.JSON:
        click.echo(json.dumps(document))
        return
    click.echo((view or View()).format(document))


def print_progress(
    document: Mapping[str, object],
    text: str,
    output: OutputFormat,
) -> None:
    """Print a JSON object or a text to the standard error."""
    is_json = output is OutputFormat.JSON
    click.echo(json.dumps(document) if is_json else text, err=True)

"""Plain-text tables."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

NO_VALUE: Final = "-"
COLUMN_GAP: Final = "  "


def format_table(
    columns: Sequence[str],
    rows: Sequence[Mapping[str, object]],
) -> str:
    """Return rows under a header line, aligned to the left."""
    lines = [[column.upper() for column in columns]]
    lines.extend(
        [format_cell(row.get(column)) for column in columns] for row in rows
    )
    widths = [max(map(len, cells)) for cells in zip(*lines, strict=True)]
    return "\n".join(
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_fields(document: Mapping[str, object]) -> str:
    """Return the fields of a document, one per line."""
    width = max(map(len, document), default=0)
    return "\n".join(
        f"{key.ljust(width)}{COLUMN_GAP}{format_cell(value)}".rstrip()
        for key, value in document.items()
    )


def format_cell(value: object) -> str:
    """Return a value as one line without control characters."""
    match value:
        case None:
            return NO_VALUE
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:.6g}"
        case dict() | list():
            return json.dumps(value, separators=(",", ":"))
    text = str(value)
    # A name from the network must not contain escape sequences that
    # control the operator's terminal.
    return "".join(c if c.isprintable() else "?" for c in text) or NO_VALUE

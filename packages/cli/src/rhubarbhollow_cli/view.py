"""How a server's document is shown as a table."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from rhubarbhollow_cli.table import format_fields, format_table

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence


class DocumentView(Protocol):
    """Show a document to people."""

    def format(self, document: Mapping[str, object]) -> str:
        """Return the document as text."""
        ...


@dataclass(frozen=True, slots=True)
class View:
    """Name the list in a document and the columns of its rows.

    With no columns, the rows' own keys are the columns.
    """

    list_field: str = ""
    columns: tuple[str, ...] = ()

    def format(self, document: Mapping[str, object]) -> str:
        """Return the plain fields, and then the list as a table."""
        fields = {
            key: value
            for key, value in document.items()
            if key != self.list_field
        }
        rows = rows_of(document.get(self.list_field))
        parts = [format_fields(fields)] if fields else []
        if self.list_field:
            columns = self.columns or tuple(
                dict.fromkeys(key for row in rows for key in row),
            )
            parts.append(format_table(columns, rows))
        return "\n\n".join(parts)


def rows_of(value: object) -> Sequence[Mapping[str, object]]:
    """Return the objects of a list; a reply may hold anything."""
    if not isinstance(value, list):
        return ()
    return [row for row in value if isinstance(row, dict)]

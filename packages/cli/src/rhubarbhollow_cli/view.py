"""Formatting of servers' documents as tables."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from rhubarbhollow_cli.table import format_fields, format_table

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence


class DocumentView(Protocol):
    """Format a document as text."""

    def format(self, document: Mapping[str, object]) -> str:
        """Return the document as text."""
        ...


@dataclass(frozen=True, slots=True)
class View:
    """The list field of a document and the columns of its table.

    Without ``columns``, the keys of the rows are the columns.
    """

    list_field: str = ""
    columns: tuple[str, ...] = ()

    def format(self, document: Mapping[str, object]) -> str:
        """Return the other fields, followed by the list as a table."""
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
    """Return the objects in a list; ignore values of other types."""
    if not isinstance(value, list):
        return ()
    return [row for row in value if isinstance(row, dict)]

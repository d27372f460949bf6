"""Separation of forwarded fields from those that end at this hop."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeAlias

from rhubarbhollow_calls import http_names as names
from rhubarbhollow_calls.http_fault import HttpFaultError, HttpFaultKind

if TYPE_CHECKING:
    from collections.abc import Sequence

Field: TypeAlias = tuple[bytes, bytes]

# Not forwarded, because they end at this hop or it writes its own.
_NOT_FORWARDED: Final = names.HOP_BY_HOP | {names.CONTENT_LENGTH, names.EXPECT}
# Read at this hop and also forwarded.
_FORWARDED: Final = frozenset((names.HOST, names.IDEMPOTENCY_KEY))
_INSPECTED: Final = _NOT_FORWARDED | _FORWARDED
# List-valued fields may occur on several lines, other inspected
# fields only once.
_LIST_FIELDS: Final = frozenset(
    (names.CONNECTION, b"te", b"trailer", b"keep-alive")
)
_STANDARD_OPTIONS: Final = frozenset((b"", b"close", b"keep-alive"))


def split_fields(
    fields: Sequence[Field],
    dropped: frozenset[bytes] = frozenset(),
    forwarded: frozenset[bytes] = frozenset(),
) -> tuple[bytes, dict[bytes, bytes]]:
    """Return the lines to forward and the values read at this hop.

    Names must be in lower case. ``dropped`` and ``forwarded`` name
    additional fields to read, which are removed or forwarded.

    Raise ``HttpFaultError`` if an inspected field that is not a list
    occurs twice, since two parsers may each use a different value.
    """
    inspected = _INSPECTED | dropped | forwarded
    kept = _FORWARDED | forwarded
    lines: list[bytes] = []
    values: dict[bytes, bytes] = {}
    for name, value in fields:
        if name not in inspected and not name.startswith(names.MESH_PREFIX):
            lines.append(b"%b: %b\r\n" % (name, value))
            continue
        if name in values:
            values[name] = _join_values(name, values[name], value)
            continue
        values[name] = value
        if name in kept:
            lines.append(b"%b: %b\r\n" % (name, value))
    if names.CONNECTION in values:
        lines = _drop_connection_fields(lines, values[names.CONNECTION])
    return b"".join(lines), values


def _join_values(name: bytes, first: bytes, second: bytes) -> bytes:
    if name in _LIST_FIELDS:
        return first + b"," + second
    raise HttpFaultError(
        HttpFaultKind.DUPLICATE_FIELD,
        f"the field {name.decode('latin-1')} occurs more than once",
    )


def _drop_connection_fields(
    lines: list[bytes], connection: bytes
) -> list[bytes]:
    """Remove the fields that the Connection field names as options."""
    options = {option.strip() for option in connection.lower().split(b",")}
    named = options - _STANDARD_OPTIONS - _FORWARDED
    if not named:
        return lines
    return [line for line in lines if line.partition(b":")[0] not in named]

"""Telling fields that travel on from those that end at this hop."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeAlias

from rhubarbhollow_calls import http_names as names
from rhubarbhollow_calls.http_fault import HttpFaultError, HttpFaultKind

if TYPE_CHECKING:
    from collections.abc import Sequence

Field: TypeAlias = tuple[bytes, bytes]

# Removed from the block, because this hop writes them anew.
_ENDING: Final = names.HOP_BY_HOP | {names.CONTENT_LENGTH, names.EXPECT}
# Read here and passed on as well.
_READ: Final = frozenset((names.HOST, names.IDEMPOTENCY_KEY))
_WATCHED: Final = _ENDING | _READ
# A list may be spread over several lines; anything else may not.
_LISTS: Final = frozenset((names.CONNECTION, b"te", b"trailer", b"keep-alive"))
_KNOWN_OPTIONS: Final = frozenset((b"", b"close", b"keep-alive"))


def split_fields(
    fields: Sequence[Field],
    dropped: frozenset[bytes] = frozenset(),
    passed: frozenset[bytes] = frozenset(),
) -> tuple[bytes, dict[bytes, bytes]]:
    """Return the lines that go on and the values that this hop reads.

    Names must be in lower case. A watched field that is given twice is
    refused, since two parsers may each believe another of the values.
    ``dropped`` and ``passed`` name further fields that are read, and
    that end here or go on.
    """
    watched = _WATCHED | dropped | passed
    read = _READ | passed
    lines: list[bytes] = []
    seen: dict[bytes, bytes] = {}
    for name, value in fields:
        if name not in watched and not name.startswith(names.MESH_PREFIX):
            lines.append(b"%b: %b\r\n" % (name, value))
            continue
        if name in seen:
            seen[name] = _join_list(name, seen[name], value)
            continue
        seen[name] = value
        if name in read:
            lines.append(b"%b: %b\r\n" % (name, value))
    if names.CONNECTION in seen:
        lines = _drop_nominated(lines, seen[names.CONNECTION])
    return b"".join(lines), seen


def _join_list(name: bytes, first: bytes, second: bytes) -> bytes:
    if name in _LISTS:
        return first + b"," + second
    raise HttpFaultError(
        HttpFaultKind.DUPLICATE_FIELD,
        f"{name.decode('latin-1')} is given twice",
    )


def _drop_nominated(lines: list[bytes], connection: bytes) -> list[bytes]:
    options = {option.strip() for option in connection.lower().split(b",")}
    nominated = options - _KNOWN_OPTIONS - _READ
    if not nominated:
        return lines
    return [line for line in lines if line.partition(b":")[0] not in nominated]

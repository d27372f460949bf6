"""The command that records departures, and its encoding in the log."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import Any, Final

from result import Err, Ok, Result

from rhubarbhollow_distribution.departure import (
    MAX_NODE_CHARACTERS,
    Departure,
    is_usable,
)

# The first byte of an entry; other commands use other ones.
DEPARTURE_TAG: Final = b"D"
MAX_DEPARTURES: Final = 16

_FIELD_TYPES: Final = {
    "name": str,
    "started_at_ms": int,
    "sequence": int,
    "is_withdrawn": bool,
    "noted_at_ms": int,
}


@dataclass(frozen=True, slots=True)
class RecordDepartures:
    """Record departures of upstreams beside ``node``."""

    node: str
    departures: tuple[Departure, ...]


@dataclass(frozen=True, slots=True)
class DepartureCommandFault:
    """Describe why bytes cannot be decoded as a departure command."""

    detail: str


def is_departure_command(payload: bytes) -> bool:
    """Return whether a log entry is a command on departures."""
    return payload[:1] == DEPARTURE_TAG


def encode_departure_command(command: RecordDepartures) -> bytes:
    """Encode a command for the log; equal commands give equal bytes."""
    text = json.dumps(asdict(command), sort_keys=True, separators=(",", ":"))
    return DEPARTURE_TAG + text.encode()


def decode_departure_command(
    payload: bytes,
) -> Result[RecordDepartures, DepartureCommandFault]:
    """Decode a command, rejecting fields that are out of range."""
    try:
        document = json.loads(payload[1:])
    except (ValueError, RecursionError):
        return _fault("the command is not JSON")
    if not isinstance(document, dict) or set(document) != {
        "node",
        "departures",
    }:
        return _fault("expected an object with a node and departures")
    node, listed = document["node"], document["departures"]
    if not isinstance(node, str) or not 0 < len(node) <= MAX_NODE_CHARACTERS:
        return _fault("expected the name of a node")
    if not isinstance(listed, list) or not 0 < len(listed) <= MAX_DEPARTURES:
        return _fault(f"expected 1 to {MAX_DEPARTURES} departures")
    departures = [_maybe_departure(fields) for fields in listed]
    usable = tuple(each for each in departures if each is not None)
    if len(usable) < len(listed):
        return _fault("a departure has a field that is missing or invalid")
    return Ok(RecordDepartures(node, usable))


def _maybe_departure(fields: object) -> Departure | None:
    if not isinstance(fields, dict) or set(fields) != set(_FIELD_TYPES):
        return None
    values: dict[str, Any] = fields
    if any(
        type(values[name]) is not expected
        for name, expected in _FIELD_TYPES.items()
    ):
        return None
    departure = Departure(**values)
    return departure if is_usable(departure) else None


def _fault(detail: str) -> Err[DepartureCommandFault]:
    return Err(DepartureCommandFault(detail))

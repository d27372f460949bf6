"""What a node tells the next one of a call, in one short field.

Bytes between data centres are dear, and separate fields with their
names take more of them than many requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from rhubarbhollow_calls.http_fault import HttpFaultError, HttpFaultKind
from rhubarbhollow_calls.http_integer import parse_integer

_SEPARATOR: Final = b";"
_PARTS: Final = 7
_NAME: Final = b"hop"


@dataclass(frozen=True, slots=True)
class Hop:
    """Name the release, the time, the route and the upstream of a call.

    ``timeout_ms`` is what is left of the call's time, ``objective_ms``
    what is left of its objective, none without one.  ``origin`` is the
    service beside the caller's node.
    """

    position: int
    timeout_ms: int
    depth: int
    objective_ms: int | None
    route: bytes
    instance: bytes
    origin: bytes


def encode_hop(hop: Hop) -> bytes:
    """Return the field's value."""
    objective = b"" if hop.objective_ms is None else b"%d" % hop.objective_ms
    return _SEPARATOR.join(
        (
            b"%d" % hop.position,
            b"%d" % hop.timeout_ms,
            b"%d" % hop.depth,
            objective,
            hop.route,
            hop.instance,
            hop.origin,
        )
    )


def parse_hop(value: bytes) -> Hop:
    """Read the field's value, or raise ``HttpFaultError``."""
    parts = value.split(_SEPARATOR)
    if len(parts) != _PARTS:
        raise HttpFaultError(HttpFaultKind.FIELD_INVALID, "not a hop field")
    objective = parts[3]
    return Hop(
        parse_integer(_NAME, parts[0]),
        parse_integer(_NAME, parts[1]),
        parse_integer(_NAME, parts[2]),
        parse_integer(_NAME, objective) if objective else None,
        parts[4],
        parts[5],
        parts[6],
    )

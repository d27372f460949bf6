"""Compact field in which a node sends call metadata to the next node.

Traffic between data centres is expensive, and separate fields with
their names would take more bytes than many requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from rhubarbhollow_calls.http_fault import HttpFaultError, HttpFaultKind
from rhubarbhollow_calls.http_integer import parse_integer

_SEPARATOR: Final = b";"
_PART_COUNT: Final = 7
# A request of a tenant has two more parts.
_TENANT_PART_COUNT: Final = 9
_FIELD_NAME: Final = b"hop"


@dataclass(frozen=True, slots=True)
class Hop:
    """Metadata that a node sends to the next node with a call.

    ``position`` is that of the release. ``timeout_ms`` is the time
    left until the call's deadline; ``objective_ms`` is the time left
    to meet its latency objective, or ``None`` without one. ``depth``
    guards against loops. ``instance`` is the chosen upstream, and
    ``origin`` is the service beside the caller's node. ``tenant`` is
    the name of the caller's tenant and ``fingerprint`` that of its key;
    both are empty for a request without a tenant, and not sent.
    """

    position: int
    timeout_ms: int
    depth: int
    objective_ms: int | None
    route: bytes
    instance: bytes
    origin: bytes
    tenant: bytes = b""
    fingerprint: bytes = b""


def encode_hop(hop: Hop) -> bytes:
    """Encode the value of the hop field."""
    objective = b"" if hop.objective_ms is None else b"%d" % hop.objective_ms
    parts: tuple[bytes, ...] = (
        b"%d" % hop.position,
        b"%d" % hop.timeout_ms,
        b"%d" % hop.depth,
        objective,
        hop.route,
        hop.instance,
        hop.origin,
    )
    if hop.tenant:
        parts += (hop.tenant, hop.fingerprint)
    return _SEPARATOR.join(parts)


def parse_hop(value: bytes) -> Hop:
    """Parse the value of the hop field, or raise ``HttpFaultError``."""
    parts = value.split(_SEPARATOR)
    if len(parts) not in (_PART_COUNT, _TENANT_PART_COUNT):
        raise HttpFaultError(
            HttpFaultKind.FIELD_INVALID,
            f"the hop field has {len(parts)} parts instead of {_PART_COUNT}"
            f" or {_TENANT_PART_COUNT}",
        )
    objective = parts[3]
    return Hop(
        parse_integer(_FIELD_NAME, parts[0]),
        parse_integer(_FIELD_NAME, parts[1]),
        parse_integer(_FIELD_NAME, parts[2]),
        parse_integer(_FIELD_NAME, objective) if objective else None,
        parts[4],
        parts[5],
        parts[6],
        *parts[7:],
    )

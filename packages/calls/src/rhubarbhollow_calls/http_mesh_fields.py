"""What nodes tell each other on a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls import http_names as names
from rhubarbhollow_calls.http_dialect import NATIVE_DIALECT
from rhubarbhollow_calls.http_fault import HttpFaultError, HttpFaultKind
from rhubarbhollow_calls.http_hop import Hop, parse_hop
from rhubarbhollow_calls.http_integer import parse_integer
from rhubarbhollow_calls.http_limits import MAX_REQUEST_ID_BYTES

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rhubarbhollow_calls.http_dialect import Dialect


@dataclass(frozen=True, slots=True)
class MeshFields:
    """Hold the fields that only nodes may set, as far as they came.

    From a caller just the position, the time limit, the depth and the
    request's name are read: the first as a hint, the second as an upper
    bound, the third against loops, the last for correlation.
    """

    position: int | None = None
    timeout_ms: int | None = None
    depth: int = 0
    request_id: bytes | None = None
    route: bytes = b""
    priority: bytes = b""
    is_idempotent: bool = False
    upstream: bytes = b""
    origin: bytes = b""
    objective_ms: int | None = None


NO_MESH_FIELDS: Final = MeshFields()


def parse_mesh_fields(
    seen: Mapping[bytes, bytes],
    is_from_node: bool,
    dialect: Dialect = NATIVE_DIALECT,
) -> MeshFields:
    """Read the fields out of ``seen``, which maps names to values."""
    request_id = seen.get(dialect.request_id)
    if request_id is not None and not _is_request_id(request_id, dialect):
        raise HttpFaultError(
            HttpFaultKind.FIELD_INVALID, "the request id is not a token"
        )
    if dialect.is_foreign and not is_from_node:
        # a caller that speaks other names sets none of ours
        timeout_ms = _maybe_integer(seen, dialect.time_limit)
        return MeshFields(None, timeout_ms, 0, request_id)
    if dialect.is_foreign:
        return _read_hop(parse_hop(seen.get(names.HOP, b"")), request_id)
    position = _maybe_integer(seen, names.POSITION)
    timeout_ms = _maybe_integer(seen, names.TIMEOUT_MS)
    depth = _maybe_integer(seen, names.DEPTH) or 0
    if not is_from_node:
        return MeshFields(position, timeout_ms, depth, request_id)
    return MeshFields(
        position,
        timeout_ms,
        depth,
        request_id,
        seen.get(names.ROUTE, b""),
        seen.get(names.PRIORITY, b""),
        seen.get(names.IDEMPOTENT) == b"true",
        seen.get(names.UPSTREAM, b""),
        seen.get(names.ORIGIN, b""),
        _maybe_integer(seen, names.OBJECTIVE_MS),
    )


def _read_hop(hop: Hop, request_id: bytes | None) -> MeshFields:
    return MeshFields(
        position=hop.position,
        timeout_ms=hop.timeout_ms,
        depth=hop.depth,
        request_id=request_id,
        route=hop.route,
        upstream=hop.instance,
        origin=hop.origin,
        objective_ms=hop.objective_ms,
    )


def _maybe_integer(seen: Mapping[bytes, bytes], name: bytes) -> int | None:
    value = seen.get(name)
    return None if value is None else parse_integer(name, value)


def _is_request_id(value: bytes, dialect: Dialect) -> bool:
    if not 0 < len(value) <= MAX_REQUEST_ID_BYTES:
        return False
    if dialect.is_foreign:
        # what is an id there is for the callers to say
        return value.isascii()
    return value.replace(b"-", b"a").replace(b"_", b"a").isalnum()

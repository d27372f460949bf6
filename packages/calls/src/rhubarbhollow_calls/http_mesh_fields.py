"""Request fields by which nodes pass on the state of a call."""

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
    """Mesh fields of a request; absent fields have their defaults.

    Only nodes may set all of them. From other callers just the
    position is read as a hint, the timeout as an upper bound, the
    depth to stop loops, and the request ID for correlation.
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
    tenant: bytes = b""
    fingerprint: bytes = b""


NO_MESH_FIELDS: Final = MeshFields()


def parse_mesh_fields(
    values: Mapping[bytes, bytes],
    is_from_node: bool,
    dialect: Dialect = NATIVE_DIALECT,
) -> MeshFields:
    """Parse the mesh fields in ``values``, a map by field name.

    Raise ``HttpFaultError`` if a field is invalid.
    """
    request_id = values.get(dialect.request_id)
    if request_id is not None and not _is_request_id(request_id, dialect):
        raise HttpFaultError(
            HttpFaultKind.FIELD_INVALID,
            f"the request ID is empty, longer than {MAX_REQUEST_ID_BYTES}"
            " bytes or has an invalid character",
        )
    if dialect.is_foreign and not is_from_node:
        # A caller of a foreign dialect sets none of the native fields.
        timeout_ms = _optional_integer(values, dialect.time_limit)
        return MeshFields(None, timeout_ms, 0, request_id)
    if dialect.is_foreign:
        return _fields_from_hop(
            parse_hop(values.get(names.HOP, b"")), request_id
        )
    position = _optional_integer(values, names.POSITION)
    timeout_ms = _optional_integer(values, names.TIMEOUT_MS)
    depth = _optional_integer(values, names.DEPTH) or 0
    if not is_from_node:
        return MeshFields(position, timeout_ms, depth, request_id)
    return MeshFields(
        position,
        timeout_ms,
        depth,
        request_id,
        values.get(names.ROUTE, b""),
        values.get(names.PRIORITY, b""),
        values.get(names.IDEMPOTENT) == b"true",
        values.get(names.UPSTREAM, b""),
        values.get(names.ORIGIN, b""),
        _optional_integer(values, names.OBJECTIVE_MS),
        values.get(names.TENANT, b""),
        values.get(names.KEY_FINGERPRINT, b""),
    )


def _fields_from_hop(hop: Hop, request_id: bytes | None) -> MeshFields:
    return MeshFields(
        position=hop.position,
        timeout_ms=hop.timeout_ms,
        depth=hop.depth,
        request_id=request_id,
        route=hop.route,
        upstream=hop.instance,
        origin=hop.origin,
        objective_ms=hop.objective_ms,
        tenant=hop.tenant,
        fingerprint=hop.fingerprint,
    )


def _optional_integer(
    values: Mapping[bytes, bytes], name: bytes
) -> int | None:
    value = values.get(name)
    return None if value is None else parse_integer(name, value)


def _is_request_id(value: bytes, dialect: Dialect) -> bool:
    if not 0 < len(value) <= MAX_REQUEST_ID_BYTES:
        return False
    if dialect.is_foreign:
        # The callers define the format of foreign request IDs.
        return value.isascii()
    return value.replace(b"-", b"a").replace(b"_", b"a").isalnum()

"""Head of an HTTP request, validated and ready to be forwarded."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhollow_calls import http_names as names
from rhubarbhollow_calls.http_body import (
    CHUNKED_BODY,
    NO_BODY,
    Body,
    SizedBody,
)
from rhubarbhollow_calls.http_dialect import NATIVE_DIALECT
from rhubarbhollow_calls.http_fault import HttpFaultError, HttpFaultKind
from rhubarbhollow_calls.http_fields import split_fields
from rhubarbhollow_calls.http_integer import parse_integer
from rhubarbhollow_calls.http_limits import MAX_TARGET_BYTES
from rhubarbhollow_calls.http_mesh_fields import (
    NO_MESH_FIELDS,
    MeshFields,
    parse_mesh_fields,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from rhubarbhollow_calls.http_dialect import Dialect
    from rhubarbhollow_calls.http_fields import Field


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Head of a request without its hop-by-hop fields.

    ``fields`` holds the field lines that are forwarded unchanged, each
    ended by CRLF. ``host`` is in lower case and has no port.
    ``credential`` is the key that the caller sent, or empty.
    ``unguarded_fields`` are the ``fields`` without the key and without
    the name of a tenant, which only nodes may set. Neither is printed.
    """

    method: bytes
    target: bytes
    host: bytes
    fields: bytes = field(repr=False)
    body: Body
    mesh: MeshFields
    idempotency_key: bytes | None
    is_keep_alive: bool
    is_continue_expected: bool
    credential: bytes = field(default=b"", repr=False)
    unguarded_fields: bytes = field(default=b"", repr=False)

    @property
    def path(self) -> bytes:
        """Return the target without its query."""
        return self.target.partition(b"?")[0]

    def without_guarded(self) -> RequestHead:
        """Return the head as a release with tenants forwards it."""
        if self.unguarded_fields is self.fields:
            return self
        return RequestHead(
            self.method,
            self.target,
            self.host,
            self.unguarded_fields,
            self.body,
            self.mesh,
            self.idempotency_key,
            self.is_keep_alive,
            self.is_continue_expected,
            b"",
            self.unguarded_fields,
        )


def parse_request_head(
    method: bytes,
    target: bytes,
    fields: Sequence[Field],
    is_from_node: bool,
    is_keep_alive: bool,
    dialect: Dialect = NATIVE_DIALECT,
) -> RequestHead:
    """Validate the head of a request.

    Raise ``HttpFaultError`` if the request cannot be forwarded.
    """
    _check_target(method, target)
    block, values = split_fields(fields, dialect.dropped, dialect.forwarded)
    guarded = dialect.guarded
    open_block = block
    if guarded:
        credential = b""
        if not guarded.isdisjoint([name for name, _ in fields]):
            credential = _join_values(fields, dialect.credential)
            open_block = _without_lines(block, guarded)
    else:
        credential = values.get(dialect.credential, b"")
    host = values.get(names.HOST)
    if not host:
        raise HttpFaultError(
            HttpFaultKind.HOST_MISSING, "the Host field is missing or empty"
        )
    is_continue_expected = False
    mesh = NO_MESH_FIELDS
    if len(values) > 1:
        _check_expect_and_upgrade(values)
        is_continue_expected = names.EXPECT in values
        mesh = parse_mesh_fields(values, is_from_node, dialect)
    return RequestHead(
        method,
        target,
        _strip_port(host),
        block,
        _find_body(values),
        mesh,
        values.get(names.IDEMPOTENCY_KEY),
        is_keep_alive,
        is_continue_expected,
        credential,
        open_block,
    )


def _join_values(fields: Sequence[Field], name: bytes) -> bytes:
    """Return the values of a field as one list (RFC 9110, 5.3).

    Two keys are thus no key: it must not depend on the reader which one
    counts.
    """
    return b", ".join(value for key, value in fields if key == name)


def _without_lines(block: bytes, left_out: frozenset[bytes]) -> bytes:
    """Return a block of field lines without the named ones."""
    return b"".join(
        line + b"\r\n"
        for line in block.split(b"\r\n")
        if line and line.partition(b":")[0] not in left_out
    )


def _check_target(method: bytes, target: bytes) -> None:
    if method == b"CONNECT":
        raise HttpFaultError(
            HttpFaultKind.METHOD_UNSUPPORTED, "CONNECT is not supported"
        )
    if len(target) > MAX_TARGET_BYTES:
        raise HttpFaultError(
            HttpFaultKind.TARGET_TOO_LONG,
            f"the target is longer than {MAX_TARGET_BYTES} bytes",
        )
    if target[:1] != b"/" or b"#" in target:
        raise HttpFaultError(
            HttpFaultKind.TARGET_INVALID,
            "expected an absolute path without a fragment",
        )


def _check_expect_and_upgrade(values: Mapping[bytes, bytes]) -> None:
    expectation = values.get(names.EXPECT)
    if expectation is not None and expectation.lower() != b"100-continue":
        raise HttpFaultError(
            HttpFaultKind.EXPECTATION_UNSUPPORTED,
            "100-continue is the only supported expectation",
        )
    if names.UPGRADE in values:
        raise HttpFaultError(
            HttpFaultKind.UPGRADE_UNSUPPORTED,
            "protocol upgrades are not supported",
        )


def _find_body(values: Mapping[bytes, bytes]) -> Body:
    coding = values.get(names.TRANSFER_ENCODING)
    length = values.get(names.CONTENT_LENGTH)
    if coding is None and length is None:
        return NO_BODY
    if coding is None and length is not None:
        return SizedBody(parse_integer(names.CONTENT_LENGTH, length))
    # Both fields together allow request smuggling: two parsers may
    # disagree on where the request ends.
    if length is not None:
        raise HttpFaultError(
            HttpFaultKind.MALFORMED,
            "the request has both Content-Length and Transfer-Encoding",
        )
    if coding is None or coding.lower() != b"chunked":
        raise HttpFaultError(
            HttpFaultKind.CODING_UNSUPPORTED,
            "chunked is the only supported transfer coding",
        )
    return CHUNKED_BODY


def _strip_port(host: bytes) -> bytes:
    name, colon, port = host.rpartition(b":")
    if colon and port.isdigit():
        return name.lower()
    return host.lower()

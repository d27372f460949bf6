"""The head of a request, checked and ready to be passed on."""

from __future__ import annotations

from dataclasses import dataclass
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
    """Hold one request's head without its hop-by-hop fields.

    ``fields`` is the block of field lines that goes to the next hop as
    it stands, each line ended by CR LF; ``host`` is lower case and
    without a port.
    """

    method: bytes
    target: bytes
    host: bytes
    fields: bytes
    body: Body
    mesh: MeshFields
    idempotency_key: bytes | None
    is_keep_alive: bool
    is_continue_expected: bool

    @property
    def path(self) -> bytes:
        """Return the target without its query."""
        return self.target.partition(b"?")[0]


def parse_request_head(
    method: bytes,
    target: bytes,
    fields: Sequence[Field],
    is_from_node: bool,
    is_keep_alive: bool,
    dialect: Dialect = NATIVE_DIALECT,
) -> RequestHead:
    """Check a head, or raise ``HttpFaultError``."""
    _check_target(method, target)
    block, seen = split_fields(fields, dialect.dropped, dialect.passed)
    host = seen.get(names.HOST)
    if not host:
        raise HttpFaultError(HttpFaultKind.HOST_MISSING, "no Host field")
    is_continue_expected = False
    mesh = NO_MESH_FIELDS
    if len(seen) > 1:
        _check_expectations(seen)
        is_continue_expected = names.EXPECT in seen
        mesh = parse_mesh_fields(seen, is_from_node, dialect)
    return RequestHead(
        method,
        target,
        _strip_port(host),
        block,
        _find_body(seen),
        mesh,
        seen.get(names.IDEMPOTENCY_KEY),
        is_keep_alive,
        is_continue_expected,
    )


def _check_target(method: bytes, target: bytes) -> None:
    if method == b"CONNECT":
        raise HttpFaultError(
            HttpFaultKind.METHOD_UNSUPPORTED, "CONNECT is not served"
        )
    if len(target) > MAX_TARGET_BYTES:
        raise HttpFaultError(
            HttpFaultKind.TARGET_TOO_LONG, "the target is too long"
        )
    if target[:1] != b"/" or b"#" in target:
        raise HttpFaultError(
            HttpFaultKind.TARGET_INVALID, "the target is not a path"
        )


def _check_expectations(seen: Mapping[bytes, bytes]) -> None:
    expectation = seen.get(names.EXPECT)
    if expectation is not None and expectation.lower() != b"100-continue":
        raise HttpFaultError(
            HttpFaultKind.EXPECTATION_UNSUPPORTED, "unknown expectation"
        )
    if names.UPGRADE in seen:
        raise HttpFaultError(
            HttpFaultKind.UPGRADE_UNSUPPORTED, "upgrades are not served"
        )


def _find_body(seen: Mapping[bytes, bytes]) -> Body:
    coding = seen.get(names.TRANSFER_ENCODING)
    length = seen.get(names.CONTENT_LENGTH)
    if coding is None and length is None:
        return NO_BODY
    if coding is None and length is not None:
        return SizedBody(parse_integer(names.CONTENT_LENGTH, length))
    # Both together are how requests are smuggled past a first parser.
    if length is not None:
        raise HttpFaultError(
            HttpFaultKind.MALFORMED, "a length beside a transfer coding"
        )
    if coding is None or coding.lower() != b"chunked":
        raise HttpFaultError(
            HttpFaultKind.CODING_UNSUPPORTED, "only chunked is understood"
        )
    return CHUNKED_BODY


def _strip_port(host: bytes) -> bytes:
    name, colon, port = host.rpartition(b":")
    if colon and port.isdigit():
        return name.lower()
    return host.lower()

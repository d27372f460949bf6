"""Head of an HTTP response, validated and ready to be forwarded."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

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
from rhubarbhollow_calls.http_limits import MAX_INTEGER_DIGITS
from rhubarbhollow_calls.slot_report import SlotReport, parse_report
from rhubarbhollow_placement.work_speed import parse_work_percent

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from rhubarbhollow_calls.http_dialect import Dialect
    from rhubarbhollow_calls.http_fields import Field

_NO_CONTENT: Final = 204
_NOT_MODIFIED: Final = 304


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Head of a response without its hop-by-hop fields.

    ``fields`` holds the field lines to forward, each ended by CRLF.
    ``length`` is the declared content length, which a response to HEAD
    and a 304 carry although no body follows. ``is_until_close`` means
    that only the end of the connection delimits the body.
    ``idle_seconds`` is how long the sender keeps an idle connection
    open, ``request_id`` is the id that the sender repeated, and
    ``slots`` is the slot report of the node beside the
    upstream. ``work_percent`` is how long work takes at the upstream,
    100 as usual and 0 if it is not known.
    """

    status: int
    fields: bytes
    body: Body
    length: int | None
    is_keep_alive: bool
    position: int | None
    executed: bytes | None
    refusal: bytes
    is_not_run: bool
    request_id: bytes | None = None
    is_until_close: bool = False
    idle_seconds: int | None = None
    slots: SlotReport | None = None
    work_percent: int = 0


def parse_response_head(
    status: int,
    fields: Sequence[Field],
    is_for_head: bool,
    is_keep_alive: bool,
    dialect: Dialect = NATIVE_DIALECT,
) -> ResponseHead:
    """Validate the head of a final response.

    Raise ``HttpFaultError`` if the response cannot be forwarded.
    """
    forwarded = dialect.forwarded
    if dialect.is_foreign:
        forwarded |= {dialect.not_run}
    block, values = split_fields(fields, forwarded=forwarded)
    length = _find_length(values)
    body = _find_body(status, values, length, is_for_head, dialect)
    is_until_close = body is CHUNKED_BODY and (
        names.TRANSFER_ENCODING not in values
    )
    return ResponseHead(
        status,
        block,
        body,
        length,
        is_keep_alive,
        _optional_integer(values, names.POSITION),
        values.get(names.EXECUTED),
        values.get(names.REFUSAL, b""),
        _is_not_run(values, dialect),
        values.get(dialect.echoed),
        is_until_close,
        _find_idle_seconds(values),
        _optional_report(values),
        _find_work_percent(fields, dialect),
    )


def _is_not_run(values: Mapping[bytes, bytes], dialect: Dialect) -> bool:
    if dialect.is_foreign:
        return dialect.not_run in values
    return values.get(names.NOT_RUN) == b"true"


def _find_idle_seconds(values: Mapping[bytes, bytes]) -> int | None:
    """Return the timeout of the Keep-Alive field, or ``None``.

    One that is no number, or too long, is ignored: it is a hint, and
    the response is complete without it.
    """
    for option in values.get(names.KEEP_ALIVE, b"").split(b","):
        name, _, value = option.strip().partition(b"=")
        is_number = value.isdigit() and len(value) <= MAX_INTEGER_DIGITS
        if name.lower() == b"timeout" and is_number:
            return int(value)
    return None


def _optional_integer(
    values: Mapping[bytes, bytes], name: bytes
) -> int | None:
    value = values.get(name)
    return None if value is None else parse_integer(name, value)


def _optional_report(values: Mapping[bytes, bytes]) -> SlotReport | None:
    value = values.get(names.SLOTS)
    return None if value is None else parse_report(value)


def _find_work_percent(fields: Sequence[Field], dialect: Dialect) -> int:
    for name, value in fields:
        if name == dialect.load:
            return parse_work_percent(value)
    return 0


def _find_length(values: Mapping[bytes, bytes]) -> int | None:
    value = values.get(names.CONTENT_LENGTH)
    if value is None:
        return None
    return parse_integer(names.CONTENT_LENGTH, value)


def _find_body(
    status: int,
    values: Mapping[bytes, bytes],
    length: int | None,
    is_for_head: bool,
    dialect: Dialect,
) -> Body:
    if is_for_head or status in (_NO_CONTENT, _NOT_MODIFIED):
        return NO_BODY
    if length is not None:
        return SizedBody(length)
    coding = values.get(names.TRANSFER_ENCODING)
    if coding is None and dialect.is_foreign:
        # Forwarded as chunked, so that a reset leaves the body visibly
        # incomplete.
        return CHUNKED_BODY
    if coding is None:
        # A closed connection does not prove that the response is
        # complete: a process that dies closes it too.
        raise HttpFaultError(
            HttpFaultKind.UNDELIMITED,
            "the response has neither Content-Length nor Transfer-Encoding",
        )
    if coding.lower() != b"chunked":
        raise HttpFaultError(
            HttpFaultKind.CODING_UNSUPPORTED,
            "chunked is the only supported transfer coding",
        )
    return CHUNKED_BODY

"""The head of an answer, checked and ready to be passed on."""

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
from rhubarbhollow_calls.slot_report import SlotReport, parse_report

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from rhubarbhollow_calls.http_dialect import Dialect
    from rhubarbhollow_calls.http_fields import Field

_NO_CONTENT: Final = 204
_NOT_MODIFIED: Final = 304


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Hold one answer's head without its hop-by-hop fields.

    ``length`` is the declared length, which an answer to HEAD and a
    304 carry although no body follows.  ``is_until_close`` says that
    only the end of the connection delimits the body.
    ``idle_seconds`` is how long the sender keeps the connection open,
    and ``slots`` what the node beside the upstream tells.
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


def parse_answer_head(
    status: int,
    fields: Sequence[Field],
    is_for_head: bool,
    is_keep_alive: bool,
    dialect: Dialect = NATIVE_DIALECT,
) -> AnswerHead:
    """Check a final answer's head, or raise ``HttpFaultError``."""
    passed = dialect.passed
    if dialect.is_foreign:
        passed |= {dialect.not_run}
    block, seen = split_fields(fields, passed=passed)
    length = _find_length(seen)
    body = _find_body(status, seen, length, is_for_head, dialect)
    is_until_close = body is CHUNKED_BODY and (
        names.TRANSFER_ENCODING not in seen
    )
    return AnswerHead(
        status,
        block,
        body,
        length,
        is_keep_alive,
        _maybe_integer(seen, names.POSITION),
        seen.get(names.EXECUTED),
        seen.get(names.REFUSAL, b""),
        _is_not_run(seen, dialect),
        seen.get(dialect.request_id),
        is_until_close,
        _find_idle_seconds(seen),
        _maybe_report(seen),
    )


def _is_not_run(seen: Mapping[bytes, bytes], dialect: Dialect) -> bool:
    if dialect.is_foreign:
        return dialect.not_run in seen
    return seen.get(names.NOT_RUN) == b"true"


def _find_idle_seconds(seen: Mapping[bytes, bytes]) -> int | None:
    """Return the time limit of a Keep-Alive field, if it has one."""
    for option in seen.get(names.KEEP_ALIVE, b"").split(b","):
        name, _, value = option.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return int(value)
    return None


def _maybe_integer(seen: Mapping[bytes, bytes], name: bytes) -> int | None:
    value = seen.get(name)
    return None if value is None else parse_integer(name, value)


def _maybe_report(seen: Mapping[bytes, bytes]) -> SlotReport | None:
    value = seen.get(names.SLOTS)
    return None if value is None else parse_report(value)


def _find_length(seen: Mapping[bytes, bytes]) -> int | None:
    value = seen.get(names.CONTENT_LENGTH)
    if value is None:
        return None
    return parse_integer(names.CONTENT_LENGTH, value)


def _find_body(
    status: int,
    seen: Mapping[bytes, bytes],
    length: int | None,
    is_for_head: bool,
    dialect: Dialect,
) -> Body:
    if is_for_head or status in (_NO_CONTENT, _NOT_MODIFIED):
        return NO_BODY
    if length is not None:
        return SizedBody(length)
    coding = seen.get(names.TRANSFER_ENCODING)
    if coding is None and dialect.is_foreign:
        # goes on in chunks; a reset before the end cuts it short
        return CHUNKED_BODY
    if coding is None:
        # The end of a connection does not prove the end of an answer:
        # a process that dies closes it too.
        raise HttpFaultError(
            HttpFaultKind.UNDELIMITED, "the answer has no proven end"
        )
    if coding.lower() != b"chunked":
        raise HttpFaultError(
            HttpFaultKind.CODING_UNSUPPORTED, "only chunked is understood"
        )
    return CHUNKED_BODY

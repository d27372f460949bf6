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
from rhubarbhollow_calls.http_fault import HttpFaultError, HttpFaultKind
from rhubarbhollow_calls.http_fields import split_fields
from rhubarbhollow_calls.http_integer import parse_integer

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from rhubarbhollow_calls.http_fields import Field

_NO_CONTENT: Final = 204
_NOT_MODIFIED: Final = 304


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Hold one answer's head without its hop-by-hop fields.

    ``length`` is the declared length, which an answer to HEAD and a
    304 carry although no body follows.
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


def parse_answer_head(
    status: int,
    fields: Sequence[Field],
    is_for_head: bool,
    is_keep_alive: bool,
) -> AnswerHead:
    """Check a final answer's head, or raise ``HttpFaultError``."""
    block, seen = split_fields(fields)
    length = _find_length(seen)
    position = seen.get(names.POSITION)
    return AnswerHead(
        status,
        block,
        _find_body(status, seen, length, is_for_head),
        length,
        is_keep_alive,
        None if position is None else parse_integer(b"position", position),
        seen.get(names.EXECUTED),
        seen.get(names.REFUSAL, b""),
        seen.get(names.NOT_RUN) == b"true",
    )


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
) -> Body:
    if is_for_head or status in (_NO_CONTENT, _NOT_MODIFIED):
        return NO_BODY
    if length is not None:
        return SizedBody(length)
    coding = seen.get(names.TRANSFER_ENCODING)
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

"""Reading answers off a connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

import httptools

from rhubarbhollow_calls.http_answer_head import parse_answer_head
from rhubarbhollow_calls.http_dialect import NATIVE_DIALECT
from rhubarbhollow_calls.http_fault import (
    HttpFault,
    HttpFaultError,
    HttpFaultKind,
)
from rhubarbhollow_calls.http_limits import MAX_FIELDS, MAX_HEAD_BYTES
from rhubarbhollow_calls.http_parse_error import to_fault

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_answer_head import AnswerHead
    from rhubarbhollow_calls.http_dialect import Dialect
    from rhubarbhollow_calls.http_fields import Field

_FIRST_FINAL_STATUS: Final = 200


class AnswerSink(Protocol):
    """Take the parts of one answer, in order."""

    def answer_started(self, head: AnswerHead) -> None:
        """Take the head of a final answer."""
        ...

    def answer_data(self, data: bytes) -> None:
        """Take a part of the answer's body."""
        ...

    def answer_ended(self) -> None:
        """Learn that the answer is whole."""
        ...


class AnswerReader:
    """Turn bytes into the answers to requests, strictly.

    Bytes that come when no answer is expected are a fault: they belong
    to no request of this connection.
    """

    __slots__ = (
        "_dialect",
        "_fields",
        "_is_expected",
        "_is_for_head",
        "_is_interim",
        "_is_until_close",
        "_parser",
        "_pending_bytes",
        "_sink",
    )

    def __init__(
        self, sink: AnswerSink, dialect: Dialect = NATIVE_DIALECT
    ) -> None:
        self._dialect = dialect
        self._sink = sink
        self._parser = httptools.HttpResponseParser(self)
        self._fields: list[Field] = []
        self._pending_bytes = 0
        self._is_expected = False
        self._is_for_head = False
        self._is_interim = False
        self._is_until_close = False

    def expect(self, is_for_head: bool) -> None:
        """Accept one final answer, to HEAD or to another method."""
        self._is_expected = True
        self._is_for_head = is_for_head
        self._is_until_close = False

    def finish(self) -> bool:
        """Learn of an orderly end; return whether it ends an answer."""
        if not self._is_expected or not self._is_until_close:
            return False
        self._end()
        return True

    def feed(self, data: bytes) -> HttpFault | None:
        """Parse ``data``; after a fault nothing more may be fed."""
        if not self._is_expected:
            return HttpFault(HttpFaultKind.UNEXPECTED, "an answer to nothing")
        self._pending_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return HttpFault(
                HttpFaultKind.UPGRADE_UNSUPPORTED, "an upgrade not asked for"
            )
        except httptools.HttpParserError as error:
            return to_fault(error)
        if self._pending_bytes <= MAX_HEAD_BYTES:
            return None
        return HttpFault(HttpFaultKind.HEAD_TOO_LARGE, "the head is too large")

    def on_message_begin(self) -> None:
        """Forget the message before."""
        if not self._is_expected:
            raise HttpFaultError(
                HttpFaultKind.UNEXPECTED, "an answer to nothing"
            )
        self._fields = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a field; those of a trailer are dropped."""
        self._fields.append((name.lower(), value))
        if len(self._fields) > MAX_FIELDS:
            raise HttpFaultError(
                HttpFaultKind.HEAD_TOO_LARGE, "there are too many fields"
            )

    def on_headers_complete(self) -> None:
        """Check the head and hand it on, unless it is interim."""
        status = self._parser.get_status_code()
        self._is_interim = status < _FIRST_FINAL_STATUS
        if self._is_interim:
            return
        head = parse_answer_head(
            status,
            self._fields,
            self._is_for_head,
            self._parser.should_keep_alive(),
            self._dialect,
        )
        self._is_until_close = head.is_until_close
        self._pending_bytes = 0
        self._sink.answer_started(head)
        if self._is_for_head:
            # The parser waits for a body that an answer to HEAD lacks.
            self._parser = httptools.HttpResponseParser(self)
            self._end()

    def on_body(self, data: bytes) -> None:
        """Hand on a part of the body."""
        if not self._is_expected:
            raise HttpFaultError(
                HttpFaultKind.UNEXPECTED, "a body after an answer to HEAD"
            )
        self._pending_bytes = 0
        self._sink.answer_data(data)

    def on_message_complete(self) -> None:
        """Hand on the end of a final answer."""
        if self._is_interim or not self._is_expected:
            return
        self._end()

    def _end(self) -> None:
        self._is_expected = False
        self._pending_bytes = 0
        self._sink.answer_ended()

"""Parsing of HTTP/1.1 responses from a connection's bytes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

import httptools

from rhubarbhollow_calls.http_dialect import NATIVE_DIALECT
from rhubarbhollow_calls.http_fault import (
    HttpFault,
    HttpFaultError,
    HttpFaultKind,
)
from rhubarbhollow_calls.http_limits import MAX_FIELDS, MAX_HEAD_BYTES
from rhubarbhollow_calls.http_parse_error import to_fault
from rhubarbhollow_calls.http_response_head import parse_response_head

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_dialect import Dialect
    from rhubarbhollow_calls.http_fields import Field
    from rhubarbhollow_calls.http_response_head import ResponseHead

_FIRST_STATUS: Final = 100
_FIRST_FINAL_STATUS: Final = 200


class ResponseSink(Protocol):
    """Receiver of the parts of one response, in order."""

    def response_started(self, head: ResponseHead) -> None:
        """Receive the head of a final response."""
        ...

    def response_data(self, data: bytes) -> None:
        """Receive a part of the response body."""
        ...

    def response_ended(self) -> None:
        """Handle the end of a complete response."""
        ...


class ResponseReader:
    """Strict parser for the responses to this connection's requests.

    Bytes that arrive while no response is expected are a fault, since
    they belong to no request of this connection. The bytes of a head,
    of a chunk's size line or of trailers count against one limit.
    """

    __slots__ = (
        "_dialect",
        "_fields",
        "_is_expected",
        "_is_for_head",
        "_is_in_response",
        "_is_until_close",
        "_parser",
        "_pending_bytes",
        "_sink",
    )

    def __init__(
        self, sink: ResponseSink, dialect: Dialect = NATIVE_DIALECT
    ) -> None:
        self._dialect = dialect
        self._sink = sink
        self._parser = httptools.HttpResponseParser(self)
        self._fields: list[Field] = []
        self._pending_bytes = 0
        self._is_expected = False
        self._is_for_head = False
        # From the head of a final response to its end.
        self._is_in_response = False
        self._is_until_close = False

    def expect(self, is_for_head: bool) -> None:
        """Expect one final response, to HEAD or to another method."""
        self._is_expected = True
        self._is_for_head = is_for_head
        self._is_until_close = False

    def finish(self) -> bool:
        """Handle an orderly close of the connection.

        Return whether it ends a response.
        """
        if not self._is_expected or not self._is_until_close:
            return False
        self._end()
        return True

    def feed(self, data: bytes) -> HttpFault | None:
        """Parse ``data`` and return a fault, or ``None``.

        No more data may be fed after a fault.
        """
        if not self._is_expected:
            return HttpFault(
                HttpFaultKind.UNEXPECTED,
                "received response data while no request is pending",
            )
        self._pending_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return HttpFault(
                HttpFaultKind.UPGRADE_UNSUPPORTED,
                "a protocol upgrade that was not requested",
            )
        except httptools.HttpParserError as error:
            return to_fault(error)
        if self._pending_bytes <= MAX_HEAD_BYTES:
            return None
        return HttpFault(
            HttpFaultKind.HEAD_TOO_LARGE,
            f"head, chunk line or trailers exceed {MAX_HEAD_BYTES} bytes",
        )

    def on_message_begin(self) -> None:
        """Reset the state left by the previous message."""
        if not self._is_expected:
            raise HttpFaultError(
                HttpFaultKind.UNEXPECTED,
                "received response data while no request is pending",
            )
        self._fields = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a field; trailer fields are discarded."""
        self._fields.append((name.lower(), value))
        if len(self._fields) > MAX_FIELDS:
            raise HttpFaultError(
                HttpFaultKind.HEAD_TOO_LARGE,
                f"the response has more than {MAX_FIELDS} fields",
            )

    def on_headers_complete(self) -> None:
        """Validate the head and pass it on, unless it is a 1xx."""
        status = self._parser.get_status_code()
        if status < _FIRST_STATUS:
            raise HttpFaultError(
                HttpFaultKind.MALFORMED, "a status code below 100"
            )
        if status < _FIRST_FINAL_STATUS:
            return
        head = parse_response_head(
            status,
            self._fields,
            self._is_for_head,
            self._parser.should_keep_alive(),
            self._dialect,
        )
        self._is_until_close = head.is_until_close
        self._pending_bytes = 0
        self._is_in_response = True
        self._sink.response_started(head)
        if self._is_for_head:
            # The parser would wait for a body, which a response to HEAD
            # does not have.
            self._parser = httptools.HttpResponseParser(self)
            self._end()

    def on_body(self, data: bytes) -> None:
        """Pass on a part of the body.

        Raise ``HttpFaultError`` if the response has none: the parser
        reads a body wherever the fields declare one.
        """
        if not self._is_in_response:
            raise HttpFaultError(
                HttpFaultKind.UNEXPECTED,
                "a body in a response to HEAD or in an interim response",
            )
        self._pending_bytes = 0
        self._sink.response_data(data)

    def on_message_complete(self) -> None:
        """Pass on the end of a final response."""
        if self._is_in_response:
            self._end()

    def _end(self) -> None:
        self._is_expected = False
        self._is_in_response = False
        self._pending_bytes = 0
        self._sink.response_ended()

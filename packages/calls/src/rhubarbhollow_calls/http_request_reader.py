"""Parsing of HTTP/1.1 requests from a connection's bytes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import httptools

from rhubarbhollow_calls.http_dialect import NATIVE_DIALECT
from rhubarbhollow_calls.http_fault import (
    HttpFault,
    HttpFaultError,
    HttpFaultKind,
)
from rhubarbhollow_calls.http_limits import (
    MAX_FIELDS,
    MAX_HEAD_BYTES,
    MAX_TARGET_BYTES,
)
from rhubarbhollow_calls.http_parse_error import to_fault
from rhubarbhollow_calls.http_request_head import parse_request_head

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_dialect import Dialect
    from rhubarbhollow_calls.http_fields import Field
    from rhubarbhollow_calls.http_request_head import RequestHead


class RequestSink(Protocol):
    """Receiver of the parts of requests, in order."""

    def request_started(self, head: RequestHead) -> None:
        """Receive the head of a request with valid framing."""
        ...

    def request_data(self, data: bytes) -> None:
        """Receive a part of the latest request's body."""
        ...

    def request_ended(self) -> None:
        """Handle the end of the latest request, now complete."""
        ...


class RequestReader:
    """Strict parser for the requests of one connection.

    The bytes of a head, of a chunk's size line or of trailers count
    against one limit, so a sender cannot make the parser buffer more.
    """

    __slots__ = (
        "_dialect",
        "_fields",
        "_is_from_node",
        "_is_last",
        "_is_mid_body",
        "_is_mid_message",
        "_parser",
        "_pending_bytes",
        "_sink",
        "_target",
    )

    def __init__(
        self,
        sink: RequestSink,
        is_from_node: bool,
        dialect: Dialect = NATIVE_DIALECT,
    ) -> None:
        self._dialect = dialect
        self._sink = sink
        self._is_from_node = is_from_node
        self._parser = httptools.HttpRequestParser(self)
        self._fields: list[Field] = []
        self._target = b""
        self._pending_bytes = 0
        self._is_last = False
        self._is_mid_message = False
        self._is_mid_body = False

    @property
    def is_mid_message(self) -> bool:
        """Return whether a message has started but not ended."""
        return self._is_mid_message

    @property
    def is_mid_body(self) -> bool:
        """Return whether a head was passed on, but not the end."""
        return self._is_mid_body

    def feed(self, data: bytes) -> HttpFault | None:
        """Parse ``data`` and return a fault, or ``None``.

        No more data may be fed after a fault. Data after the last
        request of a connection is ignored.
        """
        if self._is_last and not self._is_mid_message:
            return None
        self._pending_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return HttpFault(
                HttpFaultKind.UPGRADE_UNSUPPORTED,
                "protocol upgrades are not supported",
            )
        except httptools.HttpParserError as error:
            if self._is_last and not self._is_mid_message:
                return None
            return to_fault(error)
        if self._pending_bytes <= MAX_HEAD_BYTES:
            return None
        return HttpFault(
            HttpFaultKind.HEAD_TOO_LARGE,
            f"head, chunk line or trailers exceed {MAX_HEAD_BYTES} bytes",
        )

    def on_message_begin(self) -> None:
        """Reset the state left by the previous message."""
        self._is_mid_message = True
        self._fields = []
        self._target = b""

    def on_url(self, target: bytes) -> None:
        """Collect a part of the request target."""
        self._target += target
        if len(self._target) > MAX_TARGET_BYTES:
            raise HttpFaultError(
                HttpFaultKind.TARGET_TOO_LONG,
                f"the target is longer than {MAX_TARGET_BYTES} bytes",
            )

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a field; trailer fields are discarded."""
        self._fields.append((name.lower(), value))
        if len(self._fields) > MAX_FIELDS:
            raise HttpFaultError(
                HttpFaultKind.HEAD_TOO_LARGE,
                f"the request has more than {MAX_FIELDS} fields",
            )

    def on_headers_complete(self) -> None:
        """Validate the head and pass it on."""
        version = self._parser.get_http_version()
        if version != "1.1":
            raise HttpFaultError(
                HttpFaultKind.VERSION_UNSUPPORTED,
                f"HTTP/{version} is not supported, only HTTP/1.1",
            )
        head = parse_request_head(
            self._parser.get_method(),
            self._target,
            self._fields,
            self._is_from_node,
            self._parser.should_keep_alive(),
            self._dialect,
        )
        self._is_last = not head.is_keep_alive
        self._pending_bytes = 0
        self._is_mid_body = True
        self._sink.request_started(head)

    def on_body(self, data: bytes) -> None:
        """Pass on a part of the body."""
        self._pending_bytes = 0
        self._sink.request_data(data)

    def on_message_complete(self) -> None:
        """Pass on the end of the message."""
        self._pending_bytes = 0
        self._is_mid_message = False
        self._is_mid_body = False
        self._sink.request_ended()

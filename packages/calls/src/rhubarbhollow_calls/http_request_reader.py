"""Reading requests off a connection."""

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
    """Take the parts of requests, in order."""

    def request_started(self, head: RequestHead) -> None:
        """Take the head of a request whose framing is sound."""
        ...

    def request_data(self, data: bytes) -> None:
        """Take a part of the newest request's body."""
        ...

    def request_ended(self) -> None:
        """Learn that the newest request is whole."""
        ...


class RequestReader:
    """Turn bytes into request heads and bodies, strictly.

    Bytes of a head, of a chunk's size line or of trailers count against
    one limit, so a sender cannot make the parser hold more.
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
        """Return whether a message has begun and has not ended."""
        return self._is_mid_message

    @property
    def is_mid_body(self) -> bool:
        """Return whether a head was handed on and its end was not."""
        return self._is_mid_body

    def feed(self, data: bytes) -> HttpFault | None:
        """Parse ``data``; after a fault nothing more may be fed."""
        if self._is_last and not self._is_mid_message:
            return None
        self._pending_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return HttpFault(
                HttpFaultKind.UPGRADE_UNSUPPORTED, "upgrades are not served"
            )
        except httptools.HttpParserError as error:
            if self._is_last and not self._is_mid_message:
                return None
            return to_fault(error)
        if self._pending_bytes <= MAX_HEAD_BYTES:
            return None
        return HttpFault(HttpFaultKind.HEAD_TOO_LARGE, "the head is too large")

    def on_message_begin(self) -> None:
        """Forget the message before."""
        self._is_mid_message = True
        self._fields = []
        self._target = b""

    def on_url(self, target: bytes) -> None:
        """Collect the request target."""
        self._target += target
        if len(self._target) > MAX_TARGET_BYTES:
            raise HttpFaultError(
                HttpFaultKind.TARGET_TOO_LONG, "the target is too long"
            )

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a field; those of a trailer are dropped."""
        self._fields.append((name.lower(), value))
        if len(self._fields) > MAX_FIELDS:
            raise HttpFaultError(
                HttpFaultKind.HEAD_TOO_LARGE, "there are too many fields"
            )

    def on_headers_complete(self) -> None:
        """Check the head and hand it on."""
        version = self._parser.get_http_version()
        if version != "1.1":
            raise HttpFaultError(
                HttpFaultKind.VERSION_UNSUPPORTED, "only HTTP/1.1 is served"
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
        """Hand on a part of the body."""
        self._pending_bytes = 0
        self._sink.request_data(data)

    def on_message_complete(self) -> None:
        """Hand on the end of the message."""
        self._pending_bytes = 0
        self._is_mid_message = False
        self._is_mid_body = False
        self._sink.request_ended()

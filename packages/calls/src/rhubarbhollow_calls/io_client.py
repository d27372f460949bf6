"""Client connections, each of which carries one call at a time."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING, Protocol, cast

from rhubarbhollow_calls.http_fault import HttpFaultError, HttpFaultKind
from rhubarbhollow_calls.http_limits import MAX_SKIPPED_BYTES
from rhubarbhollow_calls.http_response_reader import ResponseReader
from rhubarbhollow_calls.invariant import InvariantViolation
from rhubarbhollow_wire.keepalive import enable_keepalive

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_fault import HttpFault
    from rhubarbhollow_calls.http_response_head import ResponseHead
    from rhubarbhollow_calls.io_pool import ConnectionPool


class BreakCause(Enum):
    """Name the reason why a connection ended during a call."""

    CLOSED = "closed"
    BAD_RESPONSE = "bad-answer"
    # The peer no longer acknowledges data or keep-alive probes.
    LOST = "lost"


class ConnectionUser(Protocol):
    """Receive the events of a connection during one call."""

    def response_started(self, head: ResponseHead) -> None:
        """Handle the head of the response."""
        ...

    def response_data(self, data: bytes) -> None:
        """Handle a part of the response body."""
        ...

    def response_ended(self) -> None:
        """Handle the end of the response.

        The connection is no longer the user's: it has been returned to
        the pool or closed.
        """
        ...

    def connection_broken(self, cause: BreakCause) -> None:
        """Handle a connection that ended before the response did."""
        ...

    def pause_request(self) -> None:
        """Stop writing, since the send buffer is full."""
        ...

    def resume_request(self) -> None:
        """Continue to write."""
        ...


class ConnectionInUse(InvariantViolation):
    """A connection was handed out while in use or closing."""


class ClientConnection(asyncio.Protocol):
    """Send one request at a time and read its response.

    A connection is returned to the pool only after both request and
    response are complete.  Any other is closed, so that a late response
    can never be matched with a later request.

    A request with an id is matched by it.  The connection is kept only
    while the responses repeat the ids of their requests, and after the
    first one a response without an id is an error: it may be another
    copy of an earlier one.  A response with another id is skipped only
    if no request of the connection was to HEAD, since its length
    depends on the method of its request.
    """

    __slots__ = (
        "_begun_at",
        "_has_received",
        "_has_responded",
        "_has_sent_head",
        "_has_skipped",
        "_is_closing",
        "_is_matched",
        "_is_reading_paused",
        "_is_request_whole",
        "_is_response_whole",
        "_is_reusable",
        "_is_unmatched",
        "_pool",
        "_reader",
        "_request_id",
        "_rested_seconds",
        "_skipped_bytes",
        "_transport",
        "_user",
        "idle_limit",
        "idle_ticks",
        "released_at",
    )

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._reader = ResponseReader(self, pool.dialect)
        self._transport: asyncio.Transport | None = None
        self._user: ConnectionUser | None = None
        self._is_request_whole = False
        self._is_response_whole = False
        self._is_reusable = False
        self._is_reading_paused = False
        self._is_closing = False
        self._is_unmatched = False
        self._is_matched = False
        self._has_responded = False
        self._has_sent_head = False
        self._has_skipped = False
        self._skipped_bytes = 0
        self._request_id: bytes | None = None
        self._has_received = False
        self._rested_seconds = 0.0
        self._begun_at = 0.0
        self.released_at = 0.0
        self.idle_ticks = 0
        self.idle_limit: int | None = None

    def begin(
        self,
        user: ConnectionUser,
        is_for_head: bool,
        data: bytes,
        request_id: bytes | None = None,
    ) -> None:
        """Write the first bytes of a request for ``user``.

        A response with an id other than ``request_id`` belongs to an
        earlier request and is skipped, up to ``MAX_SKIPPED_BYTES``.
        """
        if self._user is not None or self._is_closing:
            raise ConnectionInUse("the connection is in use or closing")
        self._user = user
        self._begun_at = self._pool.now()
        self._rested_seconds = self._begun_at - self.released_at
        self._has_received = False
        self._is_request_whole = False
        self._is_response_whole = False
        self._request_id = request_id
        self._is_unmatched = False
        self._is_matched = False
        self._has_sent_head = self._has_sent_head or is_for_head
        self._skipped_bytes = 0
        self._reader.expect(is_for_head)
        self.write(data)

    def write(self, data: bytes) -> None:
        """Write more of the request."""
        if self._transport is not None:
            self._transport.write(data)

    def end_request(self) -> None:
        """Mark the request as completely written."""
        self._is_request_whole = True

    def close_after_response(self) -> None:
        """Do not reuse the connection after the current response."""
        self._is_reusable = False

    def pause_reading(self) -> None:
        """Stop reading the response for now."""
        if self._transport is not None and not self._is_closing:
            self._is_reading_paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Continue to read the response."""
        if self._is_reading_paused and not self._is_closing:
            self._is_reading_paused = False
            cast("asyncio.Transport", self._transport).resume_reading()

    def abort(self) -> None:
        """Close immediately, without another call to the user."""
        self._user = None
        self._close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable detection of a lost peer."""
        self._transport = cast("asyncio.Transport", transport)
        raw = transport.get_extra_info("socket")
        if raw is not None:
            enable_keepalive(raw, self._pool.keepalive_limits)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response."""
        if self._user is None:
            self._close()
            return
        self._has_received = True
        fault = self._reader.feed(data)
        if self._is_response_whole:
            self._finish(fault)
        elif fault is not None or self._is_skipping_too_much(len(data)):
            self._break(BreakCause.BAD_RESPONSE)

    def eof_received(self) -> bool:
        """Close the connection; EOF may delimit the response."""
        if self._reader.finish() and self._is_response_whole:
            self._is_reusable = False
            self._finish(None)
            return False
        self._break(BreakCause.CLOSED)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the user, if the response was incomplete."""
        is_lost = isinstance(exc, TimeoutError)
        self._break(BreakCause.LOST if is_lost else BreakCause.CLOSED)

    def pause_writing(self) -> None:
        """Pause the request until the transport buffer has drained."""
        if self._user is not None:
            self._user.pause_request()

    def resume_writing(self) -> None:
        """Resume the request."""
        if self._user is not None:
            self._user.resume_request()

    def response_started(self, head: ResponseHead) -> None:
        """Forward the head, unless it belongs to another request.

        Raise ``HttpFaultError`` if it cannot be told to which one.
        """
        expected = self._request_id
        is_repeated = expected is None or head.request_id == expected
        if not is_repeated and head.request_id is None:
            self._check_first_response()
        is_kept = head.is_keep_alive and not head.is_until_close
        self._is_reusable = is_kept and is_repeated and not self._has_skipped
        if head.idle_seconds is not None:
            # One second less, since the response took time to arrive.
            self.idle_limit = max(0, head.idle_seconds - 1)
        self._is_unmatched = not is_repeated and head.request_id is not None
        if self._is_unmatched:
            self._check_length_is_known()
            return
        self._is_matched = True
        if self._user is not None:
            self._user.response_started(head)

    def response_data(self, data: bytes) -> None:
        """Forward a part of the body to the user."""
        if self._user is not None and not self._is_unmatched:
            self._user.response_data(data)

    def response_ended(self) -> None:
        """Mark the response as complete.

        The read buffer may still hold bytes after it.
        """
        if self._is_unmatched:
            self._is_unmatched = False
            self._has_skipped = True
            self._reader.expect(is_for_head=False)
            return
        self._has_responded = True
        self._is_response_whole = True

    def _check_first_response(self) -> None:
        if self._has_responded:
            raise HttpFaultError(
                HttpFaultKind.UNEXPECTED,
                "a response without an id on a connection in use again",
            )

    def _check_length_is_known(self) -> None:
        if self._has_sent_head:
            raise HttpFaultError(
                HttpFaultKind.UNEXPECTED,
                "a response to another request, which may be to HEAD",
            )

    def _is_skipping_too_much(self, size: int) -> bool:
        if self._is_matched:
            return False
        self._skipped_bytes += size
        return self._skipped_bytes > MAX_SKIPPED_BYTES

    def _finish(self, fault: HttpFault | None) -> None:
        user, self._user = self._user, None
        self._is_response_whole = False
        is_reusable = self._is_reusable and self._is_request_whole
        if is_reusable and fault is None and not self._is_closing:
            self.resume_reading()
            self._pool.release(self)
        else:
            self._close()
        if user is not None:
            user.response_ended()

    def _break(self, cause: BreakCause) -> None:
        user, self._user = self._user, None
        if user is not None and self._has_responded:
            self._report_break()
        self._close()
        if user is not None:
            user.connection_broken(cause)

    def _report_break(self) -> None:
        """Report a break in use again, if no byte came since."""
        if not self._has_received:
            self._pool.note_break(self._rested_seconds, self._begun_at)

    def _close(self) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        if self._transport is not None:
            self._transport.abort()
        self._pool.drop(self)

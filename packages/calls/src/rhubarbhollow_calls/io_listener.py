"""Connections that callers or other nodes open to this node."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Protocol, cast

from rhubarbhollow_calls.http_body import NO_BODY
from rhubarbhollow_calls.http_encoding import CONTINUE_BYTES
from rhubarbhollow_calls.http_limits import MAX_DISCARDED_BYTES
from rhubarbhollow_calls.http_request_reader import RequestReader
from rhubarbhollow_calls.io_pending import PendingRequest

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_dialect import Dialect
    from rhubarbhollow_calls.http_fault import HttpFault
    from rhubarbhollow_calls.http_request_head import RequestHead
    from rhubarbhollow_calls.io_settings import CallSettings


class CallHandler(Protocol):
    """Handle one call that arrived on a listener's connection."""

    def start(self) -> None:
        """Start the call; may end it synchronously."""
        ...

    def request_data(self, data: bytes) -> None:
        """Handle a part of the request body."""
        ...

    def request_ended(self) -> None:
        """Handle the end of the complete request."""
        ...

    def request_broken(self, fault: HttpFault) -> None:
        """Handle a request whose body turned out to be malformed."""
        ...

    def cancel(self) -> None:
        """Stop, since the caller no longer waits for the response."""
        ...

    def pause_response(self) -> None:
        """Stop writing, since the send buffer is full."""
        ...

    def resume_response(self) -> None:
        """Continue to write."""
        ...


class CallPort(Protocol):
    """Create handlers for the calls that arrive at one port."""

    @property
    def is_from_node(self) -> bool:
        """Return whether the clients of this port are nodes."""
        ...

    @property
    def dialect(self) -> Dialect:
        """Return the header names that callers and upstreams use."""
        ...

    def open_call(
        self, head: RequestHead, downstream: ListenerConnection
    ) -> CallHandler:
        """Return a handler that has not been started."""
        ...

    def encode_fault(self, fault: HttpFault) -> bytes:
        """Return the complete response to an unparsable request."""
        ...

    def connection_opened(self, connection: ListenerConnection) -> None:
        """Register an accepted connection."""
        ...

    def connection_closed(self, connection: ListenerConnection) -> None:
        """Unregister a closed connection."""
        ...


class ListenerConnection(asyncio.Protocol):
    """Read requests, run one call at a time, and answer in order.

    Pipelined requests are queued.  Reading stops while one is queued,
    so that the queue holds no more than the data of a single read.
    """

    __slots__ = (
        "_active",
        "_discarded_bytes",
        "_fault",
        "_is_closing",
        "_is_draining",
        "_is_last",
        "_is_newest_active",
        "_is_paused_by_call",
        "_is_reading_paused",
        "_is_starting_queued",
        "_is_writing_paused",
        "_port",
        "_queue",
        "_reader",
        "_transport",
        "idle_ticks",
    )

    def __init__(self, port: CallPort) -> None:
        self._port = port
        self._reader = RequestReader(self, port.is_from_node, port.dialect)
        self._transport: asyncio.Transport | None = None
        self._active: CallHandler | None = None
        self._queue: deque[PendingRequest] = deque()
        self._fault: HttpFault | None = None
        self._is_newest_active = False
        self._is_last = False
        self._is_closing = False
        self._is_draining = False
        self._is_starting_queued = False
        self._is_reading_paused = False
        self._is_paused_by_call = False
        self._is_writing_paused = False
        self._discarded_bytes = 0
        self.idle_ticks = 0

    @property
    def is_busy(self) -> bool:
        """Return whether a call is in flight or queued."""
        return self._active is not None or bool(self._queue)

    # Called by the exchange.

    def is_last_response(self) -> bool:
        """Return whether the current response has to be the last one.

        After a true result no further call starts on this connection.
        """
        if self._is_draining and not self._queue:
            self._is_last = True
        return self._is_last

    def write(self, data: bytes) -> None:
        """Write a part of the active call's response."""
        if self._transport is not None:
            self._transport.write(data)

    def end_call(self) -> None:
        """End the active call after its response has been written."""
        self._active = None
        if self._is_paused_by_call:
            self._is_paused_by_call = False
            self._update_reading()
        self._start_queued_calls()

    def abort(self) -> None:
        """Reset the connection, to mark the response as truncated."""
        self._active = None
        self._close_at_once()

    def pause_request(self) -> None:
        """Stop reading the request for now."""
        self._is_paused_by_call = True
        self._update_reading()

    def resume_request(self) -> None:
        """Continue to read the request."""
        self._is_paused_by_call = False
        self._update_reading()

    def begin_drain(self) -> None:
        """Make the next response the last one on this connection.

        An idle connection stays open: a request may already be on its
        way and must be told that it was not run.
        """
        self._is_draining = True

    def close(self) -> None:
        """Close immediately and cancel the call in flight."""
        self._close_at_once()

    def tick(self, settings: CallSettings) -> None:
        """Close if no byte has arrived for too many seconds."""
        self.idle_ticks += 1
        if self._is_closing:
            limit = settings.linger_seconds
        elif self.is_busy:
            return
        elif self._reader.is_mid_message:
            limit = settings.head_timeout_seconds
        else:
            limit = settings.caller_idle_seconds
        if self.idle_ticks > limit:
            self._close_at_once()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        self._transport = cast("asyncio.Transport", transport)
        self._port.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse requests, or discard data after the last response."""
        self.idle_ticks = 0
        if self._is_closing:
            self._discard(len(data))
            return
        fault = self._reader.feed(data)
        if fault is not None:
            self._handle_fault(fault)

    def eof_received(self) -> bool:
        """Cancel the call.

        A half-closed connection cannot be told from a closed one.
        """
        if self.is_busy:
            self._close_at_once()
        self._is_closing = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Cancel the call in flight and drop the queued requests."""
        self._close_at_once()
        self._port.connection_closed(self)

    def pause_writing(self) -> None:
        """Pause the response until the transport buffer has drained."""
        self._is_writing_paused = True
        if self._active is not None:
            self._active.pause_response()

    def resume_writing(self) -> None:
        """Resume the response, or start the next call."""
        self._is_writing_paused = False
        if self._active is not None:
            self._active.resume_response()
        else:
            self._start_queued_calls()

    # Called by the request reader.

    def request_started(self, head: RequestHead) -> None:
        """Start the call, or queue it behind an earlier one."""
        if self._is_free and not self._queue:
            self._is_newest_active = True
            self._start(head)
            return
        self._is_newest_active = False
        self._queue.append(PendingRequest(head))
        self._update_reading()

    def request_data(self, data: bytes) -> None:
        """Forward or queue a part of the newest request's body."""
        if not self._is_newest_active:
            self._queue[-1].parts.append(data)
        elif self._active is not None:
            self._active.request_data(data)
        else:
            self._discard(len(data))

    def request_ended(self) -> None:
        """Forward or queue the end of the newest request."""
        if not self._is_newest_active:
            self._queue[-1].is_whole = True
        elif self._active is not None:
            self._active.request_ended()
        elif self._is_last:
            self._close()
        self._discarded_bytes = 0

    def _start(self, head: RequestHead) -> None:
        # A caller that sent "Expect: 100-continue" and was refused may
        # or may not send the body, so no other request can follow on
        # this connection.
        self._is_last = not head.is_keep_alive or head.is_continue_expected
        call = self._port.open_call(head, self)
        self._active = call
        call.start()
        if self._active is not call or not head.is_continue_expected:
            return
        if head.body is not NO_BODY:
            self.write(CONTINUE_BYTES)

    def _start_queued_calls(self) -> None:
        """Start queued requests.

        A loop, since a request that is refused synchronously ends its
        call within this method and would otherwise cause recursion.
        """
        if self._is_starting_queued:
            return
        self._is_starting_queued = True
        while self._is_free and self._queue and not self._is_last:
            self._start_next(self._queue.popleft())
        self._is_starting_queued = False
        if not self._is_free:
            return
        if self._is_last:
            self._end_last()
        elif self._fault is not None:
            self._refuse(self._fault)

    def _end_last(self) -> None:
        self._queue.clear()
        if not self._reader.is_mid_body:
            self._close()

    @property
    def _is_free(self) -> bool:
        is_idle = self._active is None and not self._is_writing_paused
        return is_idle and not self._is_closing

    def _start_next(self, request: PendingRequest) -> None:
        self._is_newest_active = not self._queue
        self._start(request.head)
        for part in request.parts:
            if self._active is not None:
                self._active.request_data(part)
        if request.is_whole and self._active is not None:
            self._active.request_ended()
        self._update_reading()

    def _handle_fault(self, fault: HttpFault) -> None:
        if self._reader.is_mid_body:
            self._handle_body_fault(fault)
        else:
            self._fault = fault
            self._start_queued_calls()
        self._update_reading()

    def _handle_body_fault(self, fault: HttpFault) -> None:
        if not self._is_newest_active:
            self._queue.pop()
            self._fault = fault
            return
        if self._active is not None:
            self._active.request_broken(fault)
        if not self._is_closing:
            self._linger()

    def _refuse(self, fault: HttpFault) -> None:
        self.write(self._port.encode_fault(fault))
        self._linger()

    def _discard(self, size: int) -> None:
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._close_at_once()

    def _linger(self) -> None:
        """Half-close the connection and discard what still arrives.

        An immediate close could send a reset that makes the peer drop
        the response unread.
        """
        self._is_closing = True
        if self._transport is not None and self._transport.can_write_eof():
            self._transport.write_eof()
        self._update_reading()

    def _close(self) -> None:
        self._is_closing = True
        if self._transport is not None:
            self._transport.close()

    def _close_at_once(self) -> None:
        call, self._active = self._active, None
        self._queue.clear()
        self._is_closing = True
        if call is not None:
            call.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _update_reading(self) -> None:
        should_pause = self._is_paused_by_call or bool(self._queue)
        should_pause = should_pause or self._fault is not None
        should_pause = should_pause and not self._is_closing
        if should_pause == self._is_reading_paused or self._transport is None:
            return
        self._is_reading_paused = should_pause
        if should_pause:
            self._transport.pause_reading()
        elif not self._transport.is_closing():
            self._transport.resume_reading()

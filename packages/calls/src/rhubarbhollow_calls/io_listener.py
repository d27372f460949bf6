"""Connections that callers or other nodes open to this node."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, cast

from rhubarbhollow_calls.http_body import NO_BODY
from rhubarbhollow_calls.http_encoding import CONTINUE_BYTES
from rhubarbhollow_calls.http_limits import (
    MAX_DISCARDED_BYTES,
    MAX_HELD_BYTES,
    MAX_OVERLAPPING_CALLS,
)
from rhubarbhollow_calls.http_request_reader import RequestReader
from rhubarbhollow_calls.io_pipelined_call import PipelinedCall

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_fault import HttpFault
    from rhubarbhollow_calls.http_request_head import RequestHead
    from rhubarbhollow_calls.io_call_port import CallPort
    from rhubarbhollow_calls.io_settings import CallSettings


class ListenerConnection(asyncio.Protocol):
    """Read requests, run their calls, and answer in order.

    Pipelined calls that may be repeated run at the same time, up to
    ``MAX_OVERLAPPING_CALLS``; any other runs alone.  Reading stops
    while a request waits for its start, so that the queue holds no more
    than the data of a single read.

    While a later call is running, the response to an earlier one is
    held until it is complete or ``MAX_HELD_BYTES`` are: a response that
    breaks off would otherwise take the later ones with it.
    """

    __slots__ = (
        "_calls",
        "_discarded_bytes",
        "_ends_by_linger",
        "_fault",
        "_held_bytes",
        "_is_closing",
        "_is_draining",
        "_is_last",
        "_is_reading_paused",
        "_is_starting_queued",
        "_is_writing_paused",
        "_newest",
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
        # Started calls whose response is not complete, in order.
        self._calls: deque[PipelinedCall] = deque()
        self._queue: deque[PipelinedCall] = deque()
        # The request that is being read.
        self._newest: PipelinedCall | None = None
        self._fault: HttpFault | None = None
        self._is_last = False
        self._ends_by_linger = False
        self._is_closing = False
        self._is_draining = False
        self._is_starting_queued = False
        self._is_reading_paused = False
        self._is_writing_paused = False
        self._held_bytes = 0
        self._discarded_bytes = 0
        self.idle_ticks = 0

    @property
    def is_busy(self) -> bool:
        """Return whether a call is in flight or queued."""
        return bool(self._calls) or bool(self._queue)

    @property
    def has_unsent_data(self) -> bool:
        """Return whether a part of a response has not been sent."""
        transport = self._transport
        return transport is not None and bool(
            transport.get_write_buffer_size()
        )

    # Called by the calls.

    def is_last_response(self, call: PipelinedCall) -> bool:
        """Return whether the response of ``call`` has to be the last.

        After a true result no further call starts on this connection.
        """
        if not self._calls or call is not self._calls[-1]:
            return False
        if self._is_draining and not self._queue:
            self._is_last = True
        return self._is_last

    def is_streaming(self, call: PipelinedCall) -> bool:
        """Return whether ``call`` may send its response as it comes."""
        if not self._calls or call is not self._calls[0]:
            return False
        return call.is_sent or len(self._calls) == 1

    def send(self, data: bytes) -> None:
        """Write to the transport."""
        if self._transport is not None:
            self._transport.write(data)

    def hold(self, call: PipelinedCall, size: int) -> None:
        """Account for ``size`` more held bytes of ``call``.

        Above the limit the first response is sent and others pause.
        """
        self._held_bytes += size
        if self._held_bytes <= MAX_HELD_BYTES:
            return
        if self._calls and call is self._calls[0]:
            call.flush()
        else:
            call.pause_response()

    def release(self, size: int) -> None:
        """Account for ``size`` bytes that are no longer held."""
        self._held_bytes -= size

    def call_ended(self) -> None:
        """Send the responses whose turn has come, and start calls."""
        while self._calls and self._calls[0].is_ended:
            # Flushed first: the transport may pause the first call.
            self._calls[0].flush()
            if self._calls:
                self._calls.popleft()
        if self._calls:
            self._continue_first()
        self.update_reading()
        self._start_queued_calls()

    def abort(self) -> None:
        """Reset the connection, to mark a response as truncated."""
        self._close_at_once()

    def update_reading(self) -> None:
        """Pause or resume reading from the transport."""
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

    # Called by the node.

    def begin_drain(self) -> None:
        """Make the next response the last one on this connection.

        An idle connection stays open: a request may already be on its
        way and must be told that it was not run.
        """
        self._is_draining = True

    def close(self) -> None:
        """Close immediately and cancel the calls in flight."""
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
        """Cancel the calls.

        A half-closed connection cannot be told from a closed one.
        """
        if self.is_busy:
            self._close_at_once()
        self._is_closing = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Cancel the calls in flight and drop the queued requests."""
        self._close_at_once()
        self._port.connection_closed(self)

    def pause_writing(self) -> None:
        """Pause the response until the transport buffer has drained."""
        self._is_writing_paused = True
        if self._calls:
            self._calls[0].pause_response()

    def resume_writing(self) -> None:
        """Resume the response, and start the next calls."""
        self._is_writing_paused = False
        if self._calls:
            self._calls[0].resume_response()
        self._start_queued_calls()

    # Called by the request reader.

    def request_started(self, head: RequestHead) -> None:
        """Start the call, or queue it behind earlier ones."""
        call = self._newest = PipelinedCall(self, head)
        self._queue.append(call)
        self._start_queued_calls()
        if self._queue:
            self.update_reading()

    def request_data(self, data: bytes) -> None:
        """Forward or queue a part of the newest request's body."""
        if self._newest is None or not self._newest.receive_data(data):
            self._discard(len(data))

    def request_ended(self) -> None:
        """Forward or queue the end of the newest request."""
        newest, self._newest = self._newest, None
        self._discarded_bytes = 0
        if newest is None:
            return
        is_answered = newest.is_ended
        newest.receive_end()
        self.update_reading()
        if is_answered and self._is_last and not self._calls:
            self._close()

    @property
    def _is_paused_by_call(self) -> bool:
        return self._newest is not None and self._newest.is_request_paused

    @property
    def _is_free(self) -> bool:
        is_idle = not self._calls and not self._is_writing_paused
        return is_idle and not self._is_closing

    def _start_queued_calls(self) -> None:
        """Start queued calls.

        A loop, since a request that is refused synchronously ends its
        call within this method and would otherwise cause recursion.
        """
        if self._is_starting_queued:
            return
        self._is_starting_queued = True
        while self._queue and self._may_start(self._queue[0]):
            self._start(self._queue.popleft())
        self._is_starting_queued = False
        if not self._is_free:
            return
        if self._is_last:
            self._end_last()
        elif self._fault is not None:
            self._refuse(self._fault)

    def _may_start(self, call: PipelinedCall) -> bool:
        if self._is_last or self._is_closing or self._is_writing_paused:
            return False
        if not self._calls:
            return True
        if len(self._calls) >= MAX_OVERLAPPING_CALLS:
            return False
        if self._held_bytes > MAX_HELD_BYTES or call.head.is_continue_expected:
            return False
        # The calls behind the first one were checked at their start.
        is_first_repeatable = self._calls[0].may_overlap(self._port)
        return is_first_repeatable and call.may_overlap(self._port)

    def _start(self, call: PipelinedCall) -> None:
        head = call.head
        # A caller that sent "Expect: 100-continue" and was refused may
        # or may not send the body, so no other request can follow on
        # this connection.
        self._is_last = not head.is_keep_alive or head.is_continue_expected
        self._calls.append(call)
        call.start(self._port)
        is_waiting = head.is_continue_expected and not call.is_ended
        if is_waiting and head.body is not NO_BODY:
            self.send(CONTINUE_BYTES)
        call.forward_received_part()
        self.update_reading()

    def _continue_first(self) -> None:
        """Let the call whose turn has come send its response."""
        first = self._calls[0]
        if len(self._calls) == 1 or self._held_bytes > MAX_HELD_BYTES:
            first.flush()
        if self._is_writing_paused:
            first.pause_response()
        else:
            first.resume_response()

    def _end_last(self) -> None:
        self._queue.clear()
        if self._ends_by_linger:
            self._linger()
        elif not self._reader.is_mid_body:
            self._close()

    def _handle_fault(self, fault: HttpFault) -> None:
        if self._reader.is_mid_body and self._newest is not None:
            self._handle_body_fault(self._newest, fault)
        else:
            self._fault = fault
            self._start_queued_calls()
        self.update_reading()

    def _handle_body_fault(
        self, newest: PipelinedCall, fault: HttpFault
    ) -> None:
        if not newest.is_started:
            self._queue.pop()
            self._newest = None
            self._fault = fault
            return
        self._is_last = True
        self._ends_by_linger = True
        newest.receive_fault(fault)
        if not self._calls and not self._is_closing:
            self._linger()

    def _refuse(self, fault: HttpFault) -> None:
        self.send(self._port.encode_fault(fault))
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
        self.update_reading()

    def _close(self) -> None:
        self._is_closing = True
        if self._transport is not None:
            self._transport.close()

    def _close_at_once(self) -> None:
        calls = list(self._calls)
        self._calls.clear()
        self._queue.clear()
        self._is_closing = True
        for call in calls:
            call.cancel()
        if self._transport is not None:
            self._transport.abort()

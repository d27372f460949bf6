"""A connection that callers or other nodes opened to this node."""

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
    """Handle one call that came in on a listener's connection."""

    def start(self) -> None:
        """Begin; may end the call at once."""
        ...

    def request_data(self, data: bytes) -> None:
        """Take a part of the request's body."""
        ...

    def request_ended(self) -> None:
        """Learn that the request is whole."""
        ...

    def request_broken(self, fault: HttpFault) -> None:
        """Learn that the request will not become whole."""
        ...

    def cancel(self) -> None:
        """Stop, since nobody waits for the answer any more."""
        ...

    def pause_answer(self) -> None:
        """Stop writing, since the other side does not keep up."""
        ...

    def resume_answer(self) -> None:
        """Write again."""
        ...


class CallOpener(Protocol):
    """Make handlers for the calls of one port."""

    @property
    def is_from_node(self) -> bool:
        """Return whether the callers of this port are nodes."""
        ...

    @property
    def dialect(self) -> Dialect:
        """Return the field names of callers and upstreams."""
        ...

    def open_call(
        self, head: RequestHead, downstream: ListenerConnection
    ) -> CallHandler:
        """Return a handler that has not started."""
        ...

    def encode_fault(self, fault: HttpFault) -> bytes:
        """Return the whole answer to a request that cannot be read."""
        ...

    def connection_opened(self, connection: ListenerConnection) -> None:
        """Note a connection."""
        ...

    def connection_closed(self, connection: ListenerConnection) -> None:
        """Forget a connection."""
        ...


class ListenerConnection(asyncio.Protocol):
    """Read requests, run one call at a time, and answer in order.

    Requests that are sent ahead wait; reading stops while one waits, so
    that no more than one read of them is held.
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
        "_is_pumping",
        "_is_reading_paused",
        "_is_writing_paused",
        "_opener",
        "_queue",
        "_reader",
        "_transport",
        "idle_ticks",
    )

    def __init__(self, opener: CallOpener) -> None:
        self._opener = opener
        self._reader = RequestReader(self, opener.is_from_node, opener.dialect)
        self._transport: asyncio.Transport | None = None
        self._active: CallHandler | None = None
        self._queue: deque[PendingRequest] = deque()
        self._fault: HttpFault | None = None
        self._is_newest_active = False
        self._is_last = False
        self._is_closing = False
        self._is_draining = False
        self._is_pumping = False
        self._is_reading_paused = False
        self._is_paused_by_call = False
        self._is_writing_paused = False
        self._discarded_bytes = 0
        self.idle_ticks = 0

    @property
    def is_busy(self) -> bool:
        """Return whether a call is in flight or waits."""
        return self._active is not None or bool(self._queue)

    # From the exchange.

    def is_last_answer(self) -> bool:
        """Say whether the answer being sent has to be the last one.

        Once this was said, nothing more is started here.
        """
        if self._is_draining and not self._queue:
            self._is_last = True
        return self._is_last

    def write(self, data: bytes) -> None:
        """Write a part of the active call's answer."""
        if self._transport is not None:
            self._transport.write(data)

    def end_call(self) -> None:
        """Note that the active call's answer is whole."""
        self._active = None
        if self._is_paused_by_call:
            self._is_paused_by_call = False
            self._update_reading()
        self._pump()

    def abort(self) -> None:
        """Reset the connection, so that a short answer shows as one."""
        self._active = None
        self._close_at_once()

    def pause_request(self) -> None:
        """Read no more of the request for now."""
        self._is_paused_by_call = True
        self._update_reading()

    def resume_request(self) -> None:
        """Read more of the request."""
        self._is_paused_by_call = False
        self._update_reading()

    def begin_drain(self) -> None:
        """Let the next answer be the last.

        An idle connection stays open, since a request may be on its way
        and is owed the answer that it was not run.
        """
        self._is_draining = True

    def close(self) -> None:
        """Close now; a call in flight is cancelled."""
        self._close_at_once()

    def tick(self, settings: CallSettings) -> None:
        """Close if too many seconds passed without a byte."""
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

    # From the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast("asyncio.Transport", transport)
        self._opener.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse requests, or drop what comes after the last answer."""
        self.idle_ticks = 0
        if self._is_closing:
            self._discard(len(data))
            return
        fault = self._reader.feed(data)
        if fault is not None:
            self._break(fault)

    def eof_received(self) -> bool:
        """Cancel the call: a caller that has closed looks like this."""
        if self.is_busy:
            self._close_at_once()
        self._is_closing = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Cancel the call in flight and the waiting ones."""
        self._close_at_once()
        self._opener.connection_closed(self)

    def pause_writing(self) -> None:
        """Hold the answer back until the transport has drained."""
        self._is_writing_paused = True
        if self._active is not None:
            self._active.pause_answer()

    def resume_writing(self) -> None:
        """Let the answer go on."""
        self._is_writing_paused = False
        if self._active is not None:
            self._active.resume_answer()
        else:
            self._pump()

    # From the reader.

    def request_started(self, head: RequestHead) -> None:
        """Start the call, or let it wait for the one before."""
        if self._is_free and not self._queue:
            self._is_newest_active = True
            self._start(head)
            return
        self._is_newest_active = False
        self._queue.append(PendingRequest(head))
        self._update_reading()

    def request_data(self, data: bytes) -> None:
        """Pass on a part of the newest request's body."""
        if not self._is_newest_active:
            self._queue[-1].parts.append(data)
        elif self._active is not None:
            self._active.request_data(data)
        else:
            self._discard(len(data))

    def request_ended(self) -> None:
        """Pass on the end of the newest request."""
        if not self._is_newest_active:
            self._queue[-1].is_whole = True
        elif self._active is not None:
            self._active.request_ended()
        elif self._is_last:
            self._close()
        self._discarded_bytes = 0

    def _start(self, head: RequestHead) -> None:
        # A caller that was refused may or may not send the body that it
        # asked about, so nothing can follow it on this connection.
        self._is_last = not head.is_keep_alive or head.is_continue_expected
        call = self._opener.open_call(head, self)
        self._active = call
        call.start()
        if self._active is not call or not head.is_continue_expected:
            return
        if head.body is not NO_BODY:
            self.write(CONTINUE_BYTES)

    def _pump(self) -> None:
        """Start waiting requests; refused ones cause no recursion."""
        if self._is_pumping:
            return
        self._is_pumping = True
        while self._is_free and self._queue and not self._is_last:
            self._start_next(self._queue.popleft())
        self._is_pumping = False
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

    def _break(self, fault: HttpFault) -> None:
        if self._reader.is_mid_body:
            self._break_body(fault)
        else:
            self._fault = fault
            self._pump()
        self._update_reading()

    def _break_body(self, fault: HttpFault) -> None:
        if not self._is_newest_active:
            self._queue.pop()
            self._fault = fault
            return
        if self._active is not None:
            self._active.request_broken(fault)
        if not self._is_closing:
            self._linger()

    def _refuse(self, fault: HttpFault) -> None:
        self.write(self._opener.encode_fault(fault))
        self._linger()

    def _discard(self, size: int) -> None:
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._close_at_once()

    def _linger(self) -> None:
        """Half-close, since a reset could overtake the answer."""
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
        is_held = self._is_paused_by_call or bool(self._queue)
        is_held = is_held or self._fault is not None
        is_held = is_held and not self._is_closing
        if is_held == self._is_reading_paused or self._transport is None:
            return
        self._is_reading_paused = is_held
        if is_held:
            self._transport.pause_reading()
        elif not self._transport.is_closing():
            self._transport.resume_reading()

"""One request of a connection, and its response until its turn."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_fault import HttpFault
    from rhubarbhollow_calls.http_request_head import RequestHead
    from rhubarbhollow_calls.io_call_handler import CallHandler
    from rhubarbhollow_calls.io_call_port import CallPort


class Pipeline(Protocol):
    """The connection that a call shares with others."""

    def is_last_response(self, call: PipelinedCall) -> bool:
        """Return whether the response of ``call`` is the last one."""
        ...

    def is_streaming(self, call: PipelinedCall) -> bool:
        """Return whether the call may send its response as it comes."""
        ...

    def send(self, data: bytes) -> None:
        """Write to the transport."""
        ...

    def hold(self, call: PipelinedCall, size: int) -> None:
        """Account for ``size`` more held bytes of the call."""
        ...

    def release(self, size: int) -> None:
        """Account for ``size`` bytes that are no longer held."""
        ...

    def call_ended(self) -> None:
        """Deliver the responses whose turn has come."""
        ...

    def abort(self) -> None:
        """Reset the connection and cancel its calls."""
        ...

    def update_reading(self) -> None:
        """Pause or resume reading from the transport."""
        ...


class PipelinedCall:
    """Hold a request until it starts and its response until its turn.

    A response whose first byte has not been sent can still be
    discarded, so its call may be tried again or refused.
    """

    __slots__ = (
        "_handler",
        "_held",
        "_held_bytes",
        "_is_paused",
        "_is_whole",
        "_may_overlap",
        "_parts",
        "_pipeline",
        "head",
        "is_ended",
        "is_request_paused",
        "is_sent",
        "is_started",
    )

    def __init__(self, pipeline: Pipeline, head: RequestHead) -> None:
        self._pipeline = pipeline
        self._handler: CallHandler | None = None
        self._parts: list[bytes] = []
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._may_overlap: bool | None = None
        self._is_whole = False
        self._is_paused = False
        self.head = head
        self.is_started = False
        self.is_ended = False
        self.is_sent = False
        self.is_request_paused = False

    # Called by the connection.

    def may_overlap(self, port: CallPort) -> bool:
        """Return whether the call may run beside others."""
        if self._may_overlap is None:
            self._may_overlap = port.may_overlap(self.head)
        return self._may_overlap

    def start(self, port: CallPort) -> None:
        """Start the call; may end it synchronously."""
        self.is_started = True
        handler = self._handler = port.open_call(self.head, self)
        handler.start()

    def forward_received_part(self) -> None:
        """Hand over what was received before the call started."""
        parts, self._parts = self._parts, []
        for part in parts:
            if self._handler is not None:
                self._handler.request_data(part)
        if self._is_whole and self._handler is not None:
            self._handler.request_ended()

    def receive_data(self, data: bytes) -> bool:
        """Forward or keep a part of the body; false if unwanted."""
        if not self.is_started:
            self._parts.append(data)
        elif self._handler is not None:
            self._handler.request_data(data)
        else:
            return False
        return True

    def receive_end(self) -> None:
        """Forward or keep the end of the request."""
        self._is_whole = True
        if self.is_started and self._handler is not None:
            self._handler.request_ended()

    def receive_fault(self, fault: HttpFault) -> None:
        """End the call, since its body turned out to be malformed."""
        if self._handler is not None:
            self._handler.request_broken(fault)

    def cancel(self) -> None:
        """Stop the call, since nobody waits for its response."""
        handler, self._handler = self._handler, None
        self.is_ended = True
        if handler is not None:
            handler.cancel()

    def pause_response(self) -> None:
        """Pause the source of the response."""
        self._is_paused = True
        if self._handler is not None:
            self._handler.pause_response()

    def resume_response(self) -> None:
        """Resume the source of the response, if it is paused."""
        if not self._is_paused:
            return
        self._is_paused = False
        if self._handler is not None:
            self._handler.resume_response()

    def flush(self) -> None:
        """Send what is held."""
        if not self._held:
            return
        data = b"".join(self._held)
        self._drop_held()
        self.is_sent = True
        self._pipeline.send(data)

    # Called by the exchange.

    def is_last_response(self) -> bool:
        """Return whether the connection ends after this response."""
        return self._pipeline.is_last_response(self)

    def write(self, data: bytes) -> None:
        """Send a part of the response, or hold it until its turn."""
        if self._pipeline.is_streaming(self):
            self.is_sent = True
            self._pipeline.send(data)
            return
        self._held.append(data)
        self._held_bytes += len(data)
        self._pipeline.hold(self, len(data))

    def discard_response(self) -> bool:
        """Drop what was written; false if a part of it was sent."""
        if self.is_sent:
            return False
        self._drop_held()
        return True

    def end_call(self) -> None:
        """End the call after its response has been written."""
        self._handler = None
        self.is_ended = True
        self.is_request_paused = False
        self._pipeline.call_ended()

    def abort(self) -> None:
        """Reset the connection, to mark the response as truncated."""
        self._handler = None
        self._pipeline.abort()

    def pause_request(self) -> None:
        """Stop reading the request for now."""
        self.is_request_paused = True
        self._pipeline.update_reading()

    def resume_request(self) -> None:
        """Continue to read the request."""
        self.is_request_paused = False
        self._pipeline.update_reading()

    def _drop_held(self) -> None:
        self._held = []
        self._pipeline.release(self._held_bytes)
        self._held_bytes = 0

"""One call in flight, from the request head to the response's end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_calls.http_body import CHUNKED_BODY, NO_BODY
from rhubarbhollow_calls.http_encoding import (
    CLOSE_LINE,
    LAST_CHUNK,
    encode_data,
    encode_response,
)
from rhubarbhollow_calls.invariant import InvariantViolation
from rhubarbhollow_calls.io_refusal_response import (
    encode_refusal,
    refusal_for_fault,
)
from rhubarbhollow_calls.io_request_body import RequestBody
from rhubarbhollow_calls.not_run_proof import NeverWritten, UnwrittenStage
from rhubarbhollow_calls.refusal import Refusal, RefusalKind

if TYPE_CHECKING:
    from rhubarbhollow_calls.deadline import Deadline
    from rhubarbhollow_calls.http_body import Body
    from rhubarbhollow_calls.http_fault import HttpFault
    from rhubarbhollow_calls.http_request_head import RequestHead
    from rhubarbhollow_calls.http_response_head import ResponseHead
    from rhubarbhollow_calls.io_attempt import Attempt, AttemptFailure
    from rhubarbhollow_calls.io_downstream import Downstream
    from rhubarbhollow_calls.io_local_upstream import LocalUpstream
    from rhubarbhollow_calls.io_node import CallNode
    from rhubarbhollow_tenants.identity import Identity
    from rhubarbhollow_tenants.tenant import Tenant


class EndedTwice(InvariantViolation):
    """A call got a second response, refusal or cancellation."""


class Exchange:
    """Relay one request and its response, with back pressure both ways.

    An exchange makes one attempt at a time and ends exactly once: with
    a complete response, a refusal, an abort of the downstream
    connection in the middle of a response, or a cancellation.
    Subclasses choose the target of each attempt and what follows a
    failed one.
    """

    __slots__ = (
        "_attempt",
        "_body",
        "_deadline",
        "_downstream",
        "_framing",
        "_head",
        "_identity",
        "_is_over",
        "_is_request_paused",
        "_is_responding",
        "_may_have_run",
        "_node",
        "_pending_head",
        "_request_id",
        "_reserved_bytes",
        "_slot_held_seconds",
        "_status",
        "expires_at",
    )

    def __init__(
        self,
        node: CallNode,
        downstream: Downstream,
        head: RequestHead,
        request_id: bytes,
        deadline: Deadline,
        identity: Identity | None = None,
    ) -> None:
        self._node = node
        self._downstream = downstream
        self._head = head
        self._request_id = request_id
        self._deadline = deadline
        self._identity = identity
        self._body = RequestBody()
        self._attempt: Attempt | None = None
        self._framing: Body = NO_BODY
        self._pending_head: ResponseHead | None = None
        # Time in the upstream's slot, as measured by its node.
        self._slot_held_seconds: float | None = None
        self._status = 0
        self._may_have_run = False
        self._is_responding = False
        self._is_request_paused = False
        # Bytes of the body that count toward the node's budget.
        self._reserved_bytes = 0
        self._is_over = False
        self.expires_at = deadline.expires_at

    # Called by the listener.

    def start(self) -> None:
        """Start the call; may end it synchronously."""
        raise NotImplementedError

    def request_data(self, data: bytes) -> None:
        """Forward a part of the body, or buffer it until it can be."""
        if self._is_over:
            return
        self._body.add(data)
        if self._attempt is not None:
            self._attempt.request_data(data)
        if self._body.is_full and not self._is_written():
            self._reserve_body(len(data))

    def request_ended(self) -> None:
        """Forward the end of the request."""
        self._body.is_whole = True
        if self._attempt is not None:
            self._attempt.request_ended()

    def request_broken(self, fault: HttpFault) -> None:
        """Refuse a request whose body turned out to be malformed."""
        if self._is_responding and not self._take_back_response():
            self._cancel_attempt()
            self._abort()
            return
        refusal = refusal_for_fault(fault, self._is_written())
        self._cancel_attempt()
        self._refuse(refusal)

    def cancel(self) -> None:
        """Stop, since the caller no longer waits for the response."""
        if self._is_over:
            return
        self._cancel_attempt()
        self._finish()
        self._count_cancelled()

    def pause_response(self) -> None:
        """Stop reading the response: the caller does not keep up."""
        if self._attempt is not None:
            self._attempt.pause_response()

    def resume_response(self) -> None:
        """Continue to read the response."""
        if self._attempt is not None:
            self._attempt.resume_response()

    # Called by the deadline sweep.

    def expire(self) -> None:
        """End the call, since its deadline has passed."""
        if not self._is_over:
            self._end_with(self._deadline_refusal())

    def stop(self) -> None:
        """End the call, since the process stops."""
        if not self._is_over:
            self._end_with(self._stop_refusal())

    # Called by the attempt.

    def next_hop_field_lines(self) -> bytes:
        """Return the header field lines for the next hop, as of now."""
        raise NotImplementedError

    def upstream_field_lines(self, upstream: LocalUpstream) -> bytes:
        """Return the header field lines for the upstream, as of now."""
        dialect = self._node.dialect
        if dialect.is_foreign:
            lines = b"%b: %b\r\n%b: %b\r\n%b: %b\r\n" % (
                dialect.time_limit,
                self._node.format_time_left(self._deadline),
                dialect.upstream,
                upstream.instance.encode(),
                dialect.origin,
                self._origin(),
            )
        else:
            lines = self._native_field_lines()
        if self._identity is None:
            return lines
        return lines + b"%b: %b\r\n" % (dialect.tenant, self._identity.name)

    def is_key_held(self) -> bool:
        """Return whether the release in force holds the call's key.

        A release that requires no keys serves everyone.
        """
        tenants = self._node.tenants
        identity = self._identity
        if identity is None or not tenants.requires_keys:
            return True
        return tenants.holds_identity(identity)

    def response_started(self, head: ResponseHead) -> None:
        """Buffer the response head until body data or the end follows.

        Servers often write head and body separately, and each write
        would wake the next hop.  Until the head has been sent, a failed
        attempt can still be retried or refused with its reason.
        """
        self._pending_head = head
        if self._attempt is not None:
            self._slot_held_seconds = self._attempt.held_seconds
        self._status = head.status
        self._framing = head.body

    def response_data(self, data: bytes) -> None:
        """Forward a part of the response."""
        data = encode_data(self._framing, data)
        if self._pending_head is not None:
            data = self._encode_pending_head(self._pending_head) + data
        self._downstream.write(data)

    def response_ended(self) -> None:
        """Forward the end of the response."""
        self._attempt = None
        data = LAST_CHUNK if self._framing is CHUNKED_BODY else b""
        if self._pending_head is not None:
            data = self._encode_pending_head(self._pending_head) + data
        if data:
            self._downstream.write(data)
        self._record_response()
        self._finish()
        self._downstream.end_call()

    def attempt_failed(self, failure: AttemptFailure) -> None:
        """Abort a truncated response, or retry or refuse the call."""
        self._attempt = None
        self._pending_head = None
        if failure.refusal.proof is None:
            self._may_have_run = True
        self._record_failure(failure)
        if self._is_responding and not self._take_back_response():
            self._abort()
        else:
            self._handle_failure(failure)

    def pause_request(self) -> None:
        """Stop reading the request for now."""
        self._is_request_paused = True
        self._downstream.pause_request()

    def resume_request(self) -> None:
        """Continue to read the request."""
        self._release_body()
        if self._is_request_paused:
            self._is_request_paused = False
            self._downstream.resume_request()

    # Implemented or used by subclasses.

    def _tenant(self) -> Tenant | None:
        """Return the call's tenant as of the release in force."""
        if self._identity is None:
            return None
        return self._node.tenants.tenant_of(self._identity)

    def _native_field_lines(self) -> bytes:
        """Return the native header field lines for an upstream."""
        raise NotImplementedError

    def _response_field_lines(self, head: ResponseHead) -> bytes:
        raise NotImplementedError

    def _refusal_field_lines(self) -> bytes:
        return b""

    def _seconds_left(self) -> float:
        """Return the seconds until the caller's deadline."""
        now = self._node.clock.monotonic()
        return max(0.0, self._deadline.expires_at - now)

    def _objective_seconds(self) -> float | None:
        """Return the latency objective, or ``None`` without one."""
        return None

    def _retry_after(self, refusal: Refusal) -> float | None:
        """Return the seconds for Retry-After, ``None`` to send none."""
        return self._node.retry_after(
            refusal, self._seconds_left(), self._objective_seconds()
        )

    def _is_refusal_bodyless(self) -> bool:
        """Return whether refusals omit the problem document."""
        return False

    def _origin(self) -> bytes:
        """Return the service whose node received the call."""
        return self._node.origin

    def _handle_failure(self, failure: AttemptFailure) -> None:
        self._refuse(failure.refusal)

    def _record_response(self) -> None:
        """Record a complete response as evidence on the upstream."""

    def _record_failure(self, failure: AttemptFailure) -> None:
        """Record a failed attempt as evidence on the upstream."""

    def _record_cancelled(self) -> None:
        """Record that this side cancelled the attempt."""

    def _count_refusal(self, refusal: Refusal) -> None:
        """Count a refused call."""

    def _count_cancelled(self) -> None:
        """Count a cancelled call."""

    def _count_aborted(self) -> None:
        """Count a truncated response."""

    def _encode_pending_head(self, head: ResponseHead) -> bytes:
        self._pending_head = None
        self._is_responding = True
        lines = self._response_field_lines(head)
        if self._downstream.is_last_response():
            lines += CLOSE_LINE
        return encode_response(head, lines)

    def _take_back_response(self) -> bool:
        """Return whether none of the response has reached the caller.

        The call can then still be tried again, or refused.
        """
        self._is_responding = not self._downstream.discard_response()
        return not self._is_responding

    def _begin(self, attempt: Attempt) -> None:
        self._attempt = attempt
        attempt.start()

    def _is_written(self) -> bool:
        if self._may_have_run:
            return True
        return self._attempt is not None and self._attempt.is_written

    def _refuse(self, refusal: Refusal) -> None:
        if self._may_have_run and refusal.proof is not None:
            # The last attempt did not run the request, but an earlier
            # one may have.
            refusal = Refusal.unknown(refusal.kind, refusal.detail)
        response = encode_refusal(
            refusal,
            self._request_id,
            self._refusal_field_lines(),
            status=self._node.status_of(refusal),
            retry_after_seconds=self._retry_after(refusal),
            is_bodyless=self._is_refusal_bodyless(),
            is_for_head=self._head.method == b"HEAD",
            is_last=self._downstream.is_last_response(),
        )
        self._downstream.write(response)
        self._finish()
        self._count_refusal(refusal)
        self._downstream.end_call()

    def _refuse_unwritten(
        self, kind: RefusalKind, stage: UnwrittenStage, detail: str
    ) -> None:
        self._refuse(Refusal.not_run(kind, NeverWritten(stage), detail))

    def _end_with(self, refusal: Refusal) -> None:
        self._cancel_attempt()
        if self._is_responding and not self._take_back_response():
            self._abort()
        else:
            self._refuse(refusal)

    def _deadline_refusal(self) -> Refusal:
        if self._is_written():
            return Refusal.unknown(
                RefusalKind.DEADLINE, "no complete response by the deadline"
            )
        detail = "the request was not sent to the upstream by the deadline"
        return Refusal.not_run(
            RefusalKind.DEADLINE, NeverWritten(self._stage), detail
        )

    def _stop_refusal(self) -> Refusal:
        if self._is_written():
            return Refusal.unknown(
                RefusalKind.OUTCOME_UNKNOWN,
                "no complete response before this node stopped",
            )
        detail = "this node stops before the request could be sent"
        return Refusal.not_run(
            RefusalKind.DRAINING, NeverWritten(self._stage), detail
        )

    @property
    def _stage(self) -> UnwrittenStage:
        """Return the stage that the unwritten request has reached."""
        if self._attempt is None:
            return UnwrittenStage.ROUTING
        return self._attempt.stage

    def _cancel_attempt(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        if attempt.is_written:
            self._may_have_run = True
        attempt.cancel()
        self._record_cancelled()

    def _abort(self) -> None:
        self._finish()
        self._count_aborted()
        self._downstream.abort()

    def _reserve_body(self, size: int) -> None:
        """Keep more of a long body, or pause if the budget is spent."""
        if self._node.body_budget.reserve(size, self._body.size):
            self._reserved_bytes += size
        else:
            self.pause_request()

    def _release_body(self) -> None:
        self._node.body_budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _finish(self) -> None:
        if self._is_over:
            raise EndedTwice(f"call {self._request_id!r} ended twice")
        self._is_over = True
        self._release_body()
        self._node.call_ended(self)

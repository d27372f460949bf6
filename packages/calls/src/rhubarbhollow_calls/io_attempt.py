"""One attempt at a call: a request and its response on a connection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from rhubarbhollow_calls.call_result import CallResult
from rhubarbhollow_calls.http_body import CHUNKED_BODY
from rhubarbhollow_calls.http_encoding import (
    LAST_CHUNK,
    encode_data,
    encode_request,
)
from rhubarbhollow_calls.io_client import BreakCause
from rhubarbhollow_calls.io_pool import ConnectFault
from rhubarbhollow_calls.not_run_proof import NeverWritten, UnwrittenStage
from rhubarbhollow_calls.refusal import Refusal, RefusalKind

if TYPE_CHECKING:
    from rhubarbhollow_calls.backlog import Backlog
    from rhubarbhollow_calls.http_request_head import RequestHead
    from rhubarbhollow_calls.http_response_head import ResponseHead
    from rhubarbhollow_calls.io_client import ClientConnection
    from rhubarbhollow_calls.io_local_upstream import LocalUpstream
    from rhubarbhollow_calls.io_pool import ConnectionPool
    from rhubarbhollow_calls.io_request_body import RequestBody


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """Describe why an attempt failed.

    ``refusal`` is sent to the caller if no other attempt follows,
    ``result`` is recorded for the upstream, and ``backlog`` holds the
    expected waits that the upstream's node reported, or is ``None``.
    ``position`` is that of the release in force at that node, if it
    refused the request.
    """

    refusal: Refusal
    result: CallResult
    backlog: Backlog | None = None
    position: int | None = None


class AttemptOwner(Protocol):
    """Receive the events of an attempt and supply its header fields."""

    def next_hop_field_lines(self) -> bytes:
        """Return the header field lines for the next hop, as of now."""
        ...

    def upstream_field_lines(self, upstream: LocalUpstream) -> bytes:
        """Return the header field lines for the upstream, as of now."""
        ...

    def is_key_held(self) -> bool:
        """Return whether the release in force holds the call's key."""
        ...

    def response_started(self, head: ResponseHead) -> None:
        """Handle the head of a response that is not a refusal."""
        ...

    def response_data(self, data: bytes) -> None:
        """Handle a part of the response body."""
        ...

    def response_ended(self) -> None:
        """Handle the end of the response, and with it the attempt."""
        ...

    def attempt_failed(self, failure: AttemptFailure) -> None:
        """Handle the end of an attempt without a complete response."""
        ...

    def pause_request(self) -> None:
        """Stop supplying the request body: the send buffer is full."""
        ...

    def resume_request(self) -> None:
        """Continue to supply the request body."""
        ...


class Attempt:
    """Send a request and read its response, without retries.

    Subclasses define where the connection comes from, which responses
    are refusals, and which resources are released at the end.
    """

    __slots__ = (
        "_body",
        "_connection",
        "_head",
        "_is_over",
        "_is_response_paused",
        "_is_written",
        "_owner",
        "_pool",
        "_refusal_head",
    )

    def __init__(
        self, owner: AttemptOwner, head: RequestHead, body: RequestBody
    ) -> None:
        self._owner = owner
        self._head = head
        self._body = body
        self._pool: ConnectionPool | None = None
        self._connection: ClientConnection | None = None
        self._refusal_head: ResponseHead | None = None
        self._is_over = False
        self._is_written = False
        self._is_response_paused = False

    @property
    def is_written(self) -> bool:
        """Return whether any byte may have been sent."""
        return self._is_written

    @property
    def stage(self) -> UnwrittenStage:
        """Return the stage that the unwritten request has reached."""
        return UnwrittenStage.CONNECTING

    @property
    def held_seconds(self) -> float | None:
        """Return how long a local slot has been held, if one is."""
        return None

    def start(self) -> None:
        """Request the needed resources; may fail synchronously."""
        raise NotImplementedError

    def cancel(self) -> None:
        """End the attempt without calling the owner back."""
        self._is_over = True
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
        if self._pool is not None:
            self._pool.remove_waiter(self)
            self._pool = None
        self._release_resources(CallResult.CANCELLED)

    # Called by the owner.

    def request_data(self, data: bytes) -> None:
        """Write a part of the body, if the head has been written."""
        if self._connection is not None:
            self._connection.write(encode_data(self._head.body, data))
            self._body.drop_if_long()

    def request_ended(self) -> None:
        """Write the end of the body, if the head has been written."""
        if self._connection is not None:
            self._end_request(self._connection)

    def pause_response(self) -> None:
        """Stop reading the response: the caller does not keep up."""
        self._is_response_paused = True
        if self._connection is not None:
            self._connection.pause_reading()

    def resume_response(self) -> None:
        """Continue to read the response."""
        self._is_response_paused = False
        if self._connection is not None:
            self._connection.resume_reading()

    # Called by the pool.

    def connection_ready(self, connection: ClientConnection) -> None:
        """Write the part of the request that has been received."""
        self._pool = None
        self._connection = connection
        # Set before writing: a failed write may have sent some bytes.
        self._is_written = True
        is_for_head = self._head.method == b"HEAD"
        connection.begin(
            self,
            is_for_head,
            self._encode_received_part(),
            self._expected_request_id(),
        )
        self._body.drop_if_long()
        if self._body.is_whole:
            self._end_request(connection)
        if self._is_response_paused:
            connection.pause_reading()
        self._owner.resume_request()

    def connection_failed(self, fault: ConnectFault) -> None:
        """Fail the attempt, since no connection was available."""
        self._pool = None
        match fault:
            case ConnectFault.POOL_FULL:
                kind = RefusalKind.QUEUE_FULL
                result = CallResult.REFUSED_NOT_RUN
            case _:
                kind = RefusalKind.UNREACHABLE
                result = CallResult.UNREACHABLE
        proof = NeverWritten(UnwrittenStage.CONNECTING)
        refusal = Refusal.not_run(
            kind, proof, f"no connection to the next hop: {fault.value}"
        )
        self._fail(AttemptFailure(refusal, result))

    # Called by the connection.

    def response_started(self, head: ResponseHead) -> None:
        """Forward the response head, unless it is a refusal."""
        if self._is_refusal(head):
            self._refusal_head = head
        else:
            self._owner.response_started(head)

    def response_data(self, data: bytes) -> None:
        """Forward a part of the response body."""
        if self._refusal_head is None:
            self._owner.response_data(data)

    def response_ended(self) -> None:
        """End the attempt after a complete response."""
        self._connection = None
        if self._refusal_head is not None:
            self._fail(self._read_refusal(self._refusal_head))
            return
        self._release_resources(CallResult.ANSWERED)
        self._owner.response_ended()

    def connection_broken(self, cause: BreakCause) -> None:
        """End the attempt; the request may have run."""
        self._connection = None
        detail = f"connection ended before the response did: {cause.value}"
        refusal = Refusal.unknown(RefusalKind.OUTCOME_UNKNOWN, detail)
        # Calls to a lost peer each wait for a timeout, so it counts
        # as unreachable.
        is_lost = cause is BreakCause.LOST
        result = CallResult.UNREACHABLE if is_lost else CallResult.BROKEN
        self._fail(AttemptFailure(refusal, result))

    def pause_request(self) -> None:
        """Pause the request body."""
        self._owner.pause_request()

    def resume_request(self) -> None:
        """Resume the request body."""
        self._owner.resume_request()

    # Implemented or used by subclasses.

    def _acquire(self, pool: ConnectionPool) -> None:
        self._pool = pool
        pool.acquire(self)

    def _fail(self, failure: AttemptFailure) -> None:
        self._is_over = True
        self._release_resources(failure.result)
        self._owner.attempt_failed(failure)

    def _release_resources(self, result: CallResult) -> None:
        raise NotImplementedError

    def _is_refusal(self, head: ResponseHead) -> bool:
        raise NotImplementedError

    def _read_refusal(self, head: ResponseHead) -> AttemptFailure:
        raise NotImplementedError

    def _field_lines(self) -> bytes:
        """Return the header field lines for the next hop, as of now."""
        return self._owner.next_hop_field_lines()

    def _expected_request_id(self) -> bytes | None:
        """Return the id that the response has to repeat, if any."""
        return None

    def _encode_received_part(self) -> bytes:
        head = encode_request(self._head, self._field_lines())
        parts = self._body.parts
        if not parts:
            return head
        framing = self._head.body
        return head + b"".join(encode_data(framing, part) for part in parts)

    def _end_request(self, connection: ClientConnection) -> None:
        if self._head.body is CHUNKED_BODY:
            connection.write(LAST_CHUNK)
        connection.end_request()

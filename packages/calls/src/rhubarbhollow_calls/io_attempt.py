"""One attempt to have a request answered over one connection."""

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
    from rhubarbhollow_calls.http_answer_head import AnswerHead
    from rhubarbhollow_calls.http_request_head import RequestHead
    from rhubarbhollow_calls.io_client import ClientConnection
    from rhubarbhollow_calls.io_local_upstream import LocalUpstream
    from rhubarbhollow_calls.io_pool import ConnectionPool
    from rhubarbhollow_calls.io_request_body import RequestBody


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """Say what to answer if the attempt was the last, and why.

    ``result`` is the evidence about the upstream, and ``backlog``
    what the node beside it said of its queue.
    """

    refusal: Refusal
    result: CallResult
    backlog: Backlog | None = None


class AttemptOwner(Protocol):
    """Own the request that an attempt sends."""

    def node_lines(self) -> bytes:
        """Return the field lines for the next hop, as of now."""
        ...

    def upstream_lines(self, upstream: LocalUpstream) -> bytes:
        """Return the field lines for the upstream, as of now."""
        ...

    def answer_started(self, head: AnswerHead) -> None:
        """Take the head of an answer that is no refusal."""
        ...

    def answer_data(self, data: bytes) -> None:
        """Take a part of the answer's body."""
        ...

    def answer_ended(self) -> None:
        """Learn that the answer is whole and the attempt over."""
        ...

    def attempt_failed(self, failure: AttemptFailure) -> None:
        """Learn that the attempt is over without a whole answer."""
        ...

    def pause_request(self) -> None:
        """Give no more of the body for now."""
        ...

    def resume_request(self) -> None:
        """Give more of the body."""
        ...


class Attempt:
    """Write a request, then read its answer, once.

    Subclasses say how a connection is come by, which answers are
    refusals, and what has to be given back at the end.
    """

    __slots__ = (
        "_body",
        "_connection",
        "_head",
        "_is_answer_paused",
        "_is_over",
        "_is_written",
        "_owner",
        "_pool",
        "_refused_by",
    )

    def __init__(
        self, owner: AttemptOwner, head: RequestHead, body: RequestBody
    ) -> None:
        self._owner = owner
        self._head = head
        self._body = body
        self._pool: ConnectionPool | None = None
        self._connection: ClientConnection | None = None
        self._refused_by: AnswerHead | None = None
        self._is_over = False
        self._is_written = False
        self._is_answer_paused = False

    @property
    def is_written(self) -> bool:
        """Return whether a byte may have left this process."""
        return self._is_written

    @property
    def stage(self) -> UnwrittenStage:
        """Return how far an unwritten request has come."""
        return UnwrittenStage.CONNECTING

    @property
    def held_seconds(self) -> float | None:
        """Return how long a slot of this node has been held."""
        return None

    def start(self) -> None:
        """Ask for what the attempt needs; may fail at once."""
        raise NotImplementedError

    def cancel(self) -> None:
        """End without calling the owner back."""
        self._is_over = True
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
        if self._pool is not None:
            self._pool.forget(self)
            self._pool = None
        self._give_back(CallResult.CANCELLED)

    # From the owner.

    def request_data(self, data: bytes) -> None:
        """Write a part of the body, if the head has been written."""
        if self._connection is not None:
            self._connection.write(encode_data(self._head.body, data))
            self._body.drop_if_long()

    def request_ended(self) -> None:
        """Write the end of the body, if the head has been written."""
        if self._connection is not None:
            self._end_request(self._connection)

    def pause_answer(self) -> None:
        """Take no more of the answer for now."""
        self._is_answer_paused = True
        if self._connection is not None:
            self._connection.pause_reading()

    def resume_answer(self) -> None:
        """Take more of the answer."""
        self._is_answer_paused = False
        if self._connection is not None:
            self._connection.resume_reading()

    # From the pool.

    def connection_ready(self, connection: ClientConnection) -> None:
        """Write what there is of the request."""
        self._pool = None
        self._connection = connection
        # Said first: a write that fails may still have sent something.
        self._is_written = True
        is_for_head = self._head.method == b"HEAD"
        connection.begin(
            self, is_for_head, self._encode_known(), self._echoed_id()
        )
        self._body.drop_if_long()
        if self._body.is_whole:
            self._end_request(connection)
        if self._is_answer_paused:
            connection.pause_reading()
        self._owner.resume_request()

    def connection_failed(self, fault: ConnectFault) -> None:
        """Fail without a connection."""
        self._pool = None
        match fault:
            case ConnectFault.POOL_FULL:
                kind = RefusalKind.QUEUE_FULL
                result = CallResult.REFUSED_NOT_RUN
            case _:
                kind = RefusalKind.UNREACHABLE
                result = CallResult.UNREACHABLE
        proof = NeverWritten(UnwrittenStage.CONNECTING)
        refusal = Refusal.not_run(kind, proof, f"connection {fault.value}")
        self._fail(AttemptFailure(refusal, result))

    # From the connection.

    def answer_started(self, head: AnswerHead) -> None:
        """Pass the head on, unless it is that of a refusal."""
        if self._is_refusal(head):
            self._refused_by = head
        else:
            self._owner.answer_started(head)

    def answer_data(self, data: bytes) -> None:
        """Pass a part of the body on."""
        if self._refused_by is None:
            self._owner.answer_data(data)

    def answer_ended(self) -> None:
        """End the attempt."""
        self._connection = None
        if self._refused_by is not None:
            self._fail(self._read_refusal(self._refused_by))
            return
        self._give_back(CallResult.ANSWERED)
        self._owner.answer_ended()

    def connection_broken(self, cause: BreakCause) -> None:
        """End the attempt; the request may have run."""
        self._connection = None
        detail = f"no whole answer, connection {cause.value}"
        refusal = Refusal.unknown(RefusalKind.OUTCOME_UNKNOWN, detail)
        # a lost peer costs each call a timeout, as an unreachable one
        is_lost = cause is BreakCause.LOST
        result = CallResult.UNREACHABLE if is_lost else CallResult.BROKEN
        self._fail(AttemptFailure(refusal, result))

    def pause_request(self) -> None:
        """Hold the body back."""
        self._owner.pause_request()

    def resume_request(self) -> None:
        """Let the body go on."""
        self._owner.resume_request()

    # For subclasses.

    def _acquire(self, pool: ConnectionPool) -> None:
        self._pool = pool
        pool.acquire(self)

    def _fail(self, failure: AttemptFailure) -> None:
        self._is_over = True
        self._give_back(failure.result)
        self._owner.attempt_failed(failure)

    def _give_back(self, result: CallResult) -> None:
        raise NotImplementedError

    def _is_refusal(self, head: AnswerHead) -> bool:
        raise NotImplementedError

    def _read_refusal(self, head: AnswerHead) -> AttemptFailure:
        raise NotImplementedError

    def _lines(self) -> bytes:
        """Return the field lines for the next hop, as of now."""
        return self._owner.node_lines()

    def _echoed_id(self) -> bytes | None:
        """Return the id that the answer has to repeat, if any."""
        return None

    def _encode_known(self) -> bytes:
        head = encode_request(self._head, self._lines())
        parts = self._body.parts
        if not parts:
            return head
        framing = self._head.body
        return head + b"".join(encode_data(framing, part) for part in parts)

    def _end_request(self, connection: ClientConnection) -> None:
        if self._head.body is CHUNKED_BODY:
            connection.write(LAST_CHUNK)
        connection.end_request()

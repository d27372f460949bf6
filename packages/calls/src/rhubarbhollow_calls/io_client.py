"""A client connection, which carries one call at a time."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING, Protocol, cast

from rhubarbhollow_calls.http_answer_reader import AnswerReader
from rhubarbhollow_calls.invariant import InvariantViolation
from rhubarbhollow_wire.loss_watch import watch_for_loss

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_answer_head import AnswerHead
    from rhubarbhollow_calls.http_fault import HttpFault
    from rhubarbhollow_calls.io_pool import ConnectionPool


class BreakCause(Enum):
    """Name why a connection ended in the middle of a call."""

    CLOSED = "closed"
    BAD_ANSWER = "bad-answer"
    # the other end acknowledges nothing any more
    LOST = "lost"


class ConnectionUser(Protocol):
    """Use a connection for one call."""

    def answer_started(self, head: AnswerHead) -> None:
        """Take the head of the answer."""
        ...

    def answer_data(self, data: bytes) -> None:
        """Take a part of the answer's body."""
        ...

    def answer_ended(self) -> None:
        """Learn that the answer is whole; the connection is gone."""
        ...

    def connection_broken(self, cause: BreakCause) -> None:
        """Learn that the answer will not become whole."""
        ...

    def pause_request(self) -> None:
        """Stop writing, since the other side does not keep up."""
        ...

    def resume_request(self) -> None:
        """Write again."""
        ...


class ConnectionInUse(InvariantViolation):
    """A connection was given out while in use or closing."""


class ClientConnection(asyncio.Protocol):
    """Write one request at a time and read its answer.

    Only a connection on which a whole request has met a whole answer
    goes back to the pool.  Any other is closed, so that an answer that
    comes late can never be taken for that of another request.
    """

    __slots__ = (
        "_is_answer_whole",
        "_is_closing",
        "_is_reading_paused",
        "_is_request_whole",
        "_is_reusable",
        "_is_stray",
        "_pool",
        "_reader",
        "_request_id",
        "_transport",
        "_user",
        "idle_limit",
        "idle_ticks",
    )

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._reader = AnswerReader(self, pool.dialect)
        self._transport: asyncio.Transport | None = None
        self._user: ConnectionUser | None = None
        self._is_request_whole = False
        self._is_answer_whole = False
        self._is_reusable = False
        self._is_reading_paused = False
        self._is_closing = False
        self._is_stray = False
        self._request_id: bytes | None = None
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

        An answer that repeats another id than ``request_id`` is that of
        an earlier request and is skipped.
        """
        if self._user is not None or self._is_closing:
            raise ConnectionInUse
        self._user = user
        self._is_request_whole = False
        self._is_answer_whole = False
        self._request_id = request_id
        self._is_stray = False
        self._reader.expect(is_for_head)
        self.write(data)

    def write(self, data: bytes) -> None:
        """Write more of the request."""
        if self._transport is not None:
            self._transport.write(data)

    def end_request(self) -> None:
        """Note that the whole request has been written."""
        self._is_request_whole = True

    def pause_reading(self) -> None:
        """Take no more of the answer for now."""
        if self._transport is not None and not self._is_closing:
            self._is_reading_paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Take more of the answer."""
        if self._is_reading_paused and not self._is_closing:
            self._is_reading_paused = False
            cast("asyncio.Transport", self._transport).resume_reading()

    def abort(self) -> None:
        """Close at once and call the user back no more."""
        self._user = None
        self._close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, and notice if the other end is lost."""
        self._transport = cast("asyncio.Transport", transport)
        raw = transport.get_extra_info("socket")
        if raw is not None:
            watch_for_loss(raw, self._pool.loss_limits)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the answer."""
        if self._user is None:
            self._close()
            return
        fault = self._reader.feed(data)
        if self._is_answer_whole:
            self._finish(fault)
        elif fault is not None:
            self._break(BreakCause.BAD_ANSWER)

    def eof_received(self) -> bool:
        """Close, since nothing can follow; it may end an answer."""
        if self._reader.finish() and self._is_answer_whole:
            self._is_reusable = False
            self._finish(None)
            return False
        self._break(BreakCause.CLOSED)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the user, if the answer was not whole."""
        is_lost = isinstance(exc, TimeoutError)
        self._break(BreakCause.LOST if is_lost else BreakCause.CLOSED)

    def pause_writing(self) -> None:
        """Hold the request back until the transport has drained."""
        if self._user is not None:
            self._user.pause_request()

    def resume_writing(self) -> None:
        """Let the request go on."""
        if self._user is not None:
            self._user.resume_request()

    def answer_started(self, head: AnswerHead) -> None:
        """Pass the head to the user, unless it is another request's."""
        self._is_reusable = head.is_keep_alive and not head.is_until_close
        if head.idle_seconds is not None:
            # one less: the answer may have been on its way for long
            self.idle_limit = max(0, head.idle_seconds - 1)
        self._is_stray = (
            self._request_id is not None
            and head.request_id is not None
            and head.request_id != self._request_id
        )
        if self._is_stray:
            return
        if self._user is not None:
            self._user.answer_started(head)

    def answer_data(self, data: bytes) -> None:
        """Pass a part of the body to the user."""
        if self._user is not None and not self._is_stray:
            self._user.answer_data(data)

    def answer_ended(self) -> None:
        """Note the end; bytes after it may be left in the buffer."""
        if self._is_stray:
            self._is_stray = False
            self._reader.expect(is_for_head=False)
            return
        self._is_answer_whole = True

    def _finish(self, fault: HttpFault | None) -> None:
        user, self._user = self._user, None
        self._is_answer_whole = False
        is_reusable = self._is_reusable and self._is_request_whole
        if is_reusable and fault is None and not self._is_closing:
            self.resume_reading()
            self._pool.release(self)
        else:
            self._close()
        if user is not None:
            user.answer_ended()

    def _break(self, cause: BreakCause) -> None:
        user, self._user = self._user, None
        self._close()
        if user is not None:
            user.connection_broken(cause)

    def _close(self) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        if self._transport is not None:
            self._transport.abort()
        self._pool.drop(self)

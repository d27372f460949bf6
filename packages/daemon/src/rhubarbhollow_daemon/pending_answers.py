"""Matching of answers to the requests that wait for them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable

_Answer = TypeVar("_Answer")


class PendingAnswers(Generic[_Answer]):
    """Number the requests to a peer and wait for their answers.

    The ids of the requests follow ``last_id``.
    """

    def __init__(self, last_id: int = 0) -> None:
        self._last_id = last_id
        self._pending: dict[int, anyio.Event] = {}
        self._answers: dict[int, _Answer] = {}

    async def ask(
        self, send: Callable[[int], None], timeout_seconds: float
    ) -> _Answer | None:
        """Send a request; return its answer, or ``None`` if it is late.

        ``send`` gets the id of the request.
        """
        self._last_id += 1
        request_id = self._last_id
        event = self._pending[request_id] = anyio.Event()
        try:
            send(request_id)
            with anyio.move_on_after(timeout_seconds):
                await event.wait()
        finally:
            del self._pending[request_id]
            answer = self._answers.pop(request_id, None)
        return answer

    def deliver(self, request_id: int, answer: _Answer) -> None:
        """Deliver an answer to its request, if that still waits."""
        event = self._pending.get(request_id)
        if event is not None:
            self._answers[request_id] = answer
            event.set()

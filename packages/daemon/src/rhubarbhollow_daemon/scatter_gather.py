"""Scatter-gather requests to several processes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


class ScatterGather(Generic[T]):
    """Request an answer from several processes and collect them.

    Processes that do not answer in time are left out.
    """

    def __init__(self, timeout_seconds: float) -> None:
        self._timeout_seconds = timeout_seconds
        self._last_id = 0
        self._answers: dict[int, list[T]] = {}
        self._changed = anyio.Event()

    async def gather(
        self,
        expected: int,
        ask: Callable[[int], None],
    ) -> tuple[T, ...]:
        """Call ``ask`` with a new request id and collect the answers.

        Returns once ``expected`` answers have arrived, or after the
        timeout with those that have.
        """
        self._last_id += 1
        request_id = self._last_id
        answers = self._answers[request_id] = []
        ask(request_id)
        try:
            with anyio.move_on_after(self._timeout_seconds):
                while len(answers) < expected:
                    await self._changed.wait()
        finally:
            del self._answers[request_id]
        return tuple(answers)

    def deliver(self, request_id: int, answer: T) -> None:
        """Add an answer to its request, if that is still waiting."""
        answers = self._answers.get(request_id)
        if answers is None:
            return
        answers.append(answer)
        self._changed.set()
        self._changed = anyio.Event()

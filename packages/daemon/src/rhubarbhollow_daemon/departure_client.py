"""A node's client for the replicated record of departures."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio

from rhubarbhollow_daemon.pending_answers import PendingAnswers
from rhubarbhollow_distribution.departure_messages import (
    DepartureAnswer,
    DepartureRequest,
)

if TYPE_CHECKING:
    from rhubarbhollow_daemon.outbox import Outbox
    from rhubarbhollow_distribution.departure import Departure

ANSWER_TIMEOUT_SECONDS: Final = 0.5
RETRY_SECONDS: Final = 0.05


class DepartureClient:
    """Record and read departures through the node's control instance.

    A request is retransmitted until its deadline; recording a departure
    again changes nothing.
    """

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._pending = PendingAnswers[DepartureAnswer]()
        self._connected = anyio.Event()

    def set_connected(self, is_connected: bool) -> None:
        """Note whether a control instance has welcomed this node."""
        if is_connected:
            self._connected.set()
        elif self._connected.is_set():
            self._connected = anyio.Event()

    async def record(
        self, departure: Departure, timeout_seconds: float
    ) -> bool:
        """Return whether a quorum has stored the departure in time.

        If false, it may be stored all the same.
        """
        with anyio.move_on_after(timeout_seconds):
            await self._request((departure,))
            return True
        return False

    async def recall(self) -> tuple[Departure, ...]:
        """Return all departures recorded for this node.

        Wait until a control instance has confirmed with a quorum that
        it knows those recorded before the call.
        """
        return await self._request(())

    def deliver(self, answer: DepartureAnswer) -> None:
        """Deliver an answer to the request that waits for it."""
        self._pending.deliver(answer.request_id, answer)

    async def _request(
        self, departures: tuple[Departure, ...]
    ) -> tuple[Departure, ...]:
        def send(request_id: int) -> None:
            self._outbox.put(DepartureRequest(request_id, departures))

        while True:
            # A connection discards what was queued before it.
            await self._connected.wait()
            answer = await self._pending.ask(send, ANSWER_TIMEOUT_SECONDS)
            if answer is not None and answer.is_confirmed:
                return answer.departures
            await anyio.sleep(RETRY_SECONDS)

"""Durable records of the departures that nodes acknowledge."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio
import structlog

from rhubarbhollow_daemon.document_outcome import DocumentVerdict
from rhubarbhollow_distribution.departure import is_usable
from rhubarbhollow_distribution.departure_command import (
    MAX_DEPARTURES,
    RecordDepartures,
    encode_departure_command,
)
from rhubarbhollow_distribution.departure_messages import DepartureAnswer

if TYPE_CHECKING:
    from collections.abc import Callable

    from rhubarbhollow_daemon.release_log import ReleaseLog
    from rhubarbhollow_daemon.release_machine import ReleaseMachine
    from rhubarbhollow_distribution.departure import Departure
    from rhubarbhollow_distribution.departure_messages import DepartureRequest

MAX_CONCURRENT_REQUESTS: Final = 256
# A node repeats its request after this time.
ANSWER_TIMEOUT_SECONDS: Final = 0.5

_log = structlog.get_logger()


class DepartureService:
    """Commit departures to the log of releases, and read them back."""

    def __init__(self, log: ReleaseLog, machine: ReleaseMachine) -> None:
        self._log = log
        self._machine = machine
        self._slots = anyio.CapacityLimiter(MAX_CONCURRENT_REQUESTS)

    async def serve_node(
        self,
        node: str,
        request: DepartureRequest,
        send: Callable[[object], None],
    ) -> None:
        """Record a node's departures, or send it those recorded."""
        is_confirmed = False
        with anyio.move_on_after(ANSWER_TIMEOUT_SECONDS):
            async with self._slots:
                is_confirmed = await self._confirm(node, request.departures)
        departures: tuple[Departure, ...] = ()
        if is_confirmed and not request.departures:
            departures = self._machine.departures.of(node)
        send(DepartureAnswer(request.request_id, is_confirmed, departures))

    async def _confirm(
        self, node: str, departures: tuple[Departure, ...]
    ) -> bool:
        if not departures:
            return await self._log.confirm()
        if len(departures) > MAX_DEPARTURES or not all(
            map(is_usable, departures)
        ):
            _log.warning("departures_refused", node=node)
            return False
        command = RecordDepartures(node, departures)
        outcome = await self._log.propose(encode_departure_command(command))
        return outcome.verdict is DocumentVerdict.ACCEPTED

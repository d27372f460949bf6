"""Orders and reads of rollouts on any control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio
import structlog
from result import Err, Ok, Result

from rhubarbhollow_daemon.document_outcome import (
    DocumentOutcome,
    DocumentVerdict,
)
from rhubarbhollow_daemon.release_log import (
    ANSWER_DEADLINE_SECONDS,
    ReleaseLog,
    unavailable,
)
from rhubarbhollow_rollout.command import StartRollout, encode_rollout_command

if TYPE_CHECKING:
    from rhubarbhollow_daemon.release_machine import ReleaseMachine
    from rhubarbhollow_rollout.record import RolloutRecord
    from rhubarbhollow_wire.clock import Clock

# Enough for the log to sync twice on a slow disk.
RETRY_SECONDS: Final = 0.05
MS_PER_SECOND: Final = 1000

_log = structlog.get_logger()


class RolloutOrders:
    """Commit orders and serve linearizable reads, with a deadline.

    The same order gets the same answer from any instance, so an order
    whose answer was lost is given again, here or by the operator.
    """

    def __init__(
        self, log: ReleaseLog, machine: ReleaseMachine, clock: Clock
    ) -> None:
        self._log = log
        self._machine = machine
        self._clock = clock

    async def order(
        self, service: str, new_version: str, duration_ms: int
    ) -> DocumentOutcome:
        """Return the log's verdict, or why none arrived in time."""
        ordered_at = round(self._clock.utc().timestamp() * MS_PER_SECOND)
        command = encode_rollout_command(
            StartRollout(service, new_version, duration_ms, ordered_at)
        )
        deadline = self._clock.monotonic() + ANSWER_DEADLINE_SECONDS
        outcome = unavailable("no leader is known")
        may_be_accepted = False
        while (remaining_seconds := deadline - self._clock.monotonic()) > 0:
            outcome = await self._propose(command, remaining_seconds)
            if outcome.verdict.is_final:
                _log.info(
                    "rollout_ordered",
                    service=service,
                    new_version=new_version,
                    duration_ms=duration_ms,
                    verdict=outcome.verdict.name.lower(),
                )
                return outcome
            may_be_accepted |= outcome.verdict is DocumentVerdict.UNKNOWN
            await anyio.sleep(RETRY_SECONDS)
        if may_be_accepted:
            return DocumentOutcome(DocumentVerdict.UNKNOWN, outcome.detail)
        return outcome

    async def read(
        self, service: str
    ) -> Result[RolloutRecord | None, DocumentOutcome]:
        """Return a service's latest rollout, confirmed by a quorum."""
        with anyio.move_on_after(ANSWER_DEADLINE_SECONDS):
            while True:
                if await self._log.confirm():
                    return Ok(self._machine.rollouts.records.get(service))
                await anyio.sleep(RETRY_SECONDS)
        return Err(unavailable("no leader confirmed the rollouts in time"))

    async def _propose(
        self, command: bytes, seconds: float
    ) -> DocumentOutcome:
        with anyio.move_on_after(seconds):
            return await self._log.propose(command)
        return DocumentOutcome(
            DocumentVerdict.UNKNOWN, "the order was not committed in time"
        )

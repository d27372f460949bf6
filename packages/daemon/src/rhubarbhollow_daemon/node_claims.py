"""Claims of keyed calls, through the node's control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio
import structlog
from result import Ok

from rhubarbhollow_calls.claim import AbandonClaim, ClaimKey
from rhubarbhollow_calls.claim_outcome import AlreadyRunning, Claimed
from rhubarbhollow_calls.not_run_proof import NeverWritten, UnwrittenStage

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from result import Result

    from rhubarbhollow_calls.claim import ClaimCommand
    from rhubarbhollow_calls.claim_outcome import ClaimOutcome
    from rhubarbhollow_daemon.claim_client import (
        ClaimClient,
        ClaimUnavailable,
    )

CLAIM_TIMEOUT_SECONDS: Final = 3.0
SETTLE_TIMEOUT_SECONDS: Final = 60.0
MAX_ABANDONED: Final = 1_024
MAX_REPEATS: Final = 10
REPEAT_SECONDS: Final = 0.05

_log = structlog.get_logger()


class NodeClaims:
    """Answer the call path's claims, and clear up those that were lost.

    A claim whose answer did not come in time may stand in the ledger
    although the request never runs. It is proposed again until it is
    answered and then abandoned, so that the caller's next send is free
    to run.
    """

    def __init__(
        self,
        client: ClaimClient,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._client = client
        self._sleep = sleep
        self._lost, self._to_clear = anyio.create_memory_object_stream[
            ClaimKey
        ](MAX_ABANDONED)

    async def claim(
        self,
        key: bytes,
        fingerprint: bytes,
        attempt_id: int,
    ) -> ClaimOutcome | None:
        """Ask to run a request; nothing means no answer in time.

        The first send's answer goes out before it is stored, so a
        second one that follows at once waits a little for it.
        """
        command = ClaimKey(
            key,
            fingerprint,
            self._client.node,
            self._client.incarnation,
            attempt_id,
            claimed_at_ms=0,
        )
        outcome = await self._commit_unless_running(command)
        if isinstance(outcome, Ok):
            return outcome.ok_value
        try:
            self._lost.send_nowait(command)
        except anyio.WouldBlock:
            _log.warning("lost_claim_not_cleared", key=key.hex())
        return None

    async def settle(self, command: ClaimCommand) -> None:
        """Record how a claimed request ended.

        If no quorum answers in time the claim stays as it is, and later
        sends of the request are told that its outcome is unknown.
        """
        outcome = await self._client.commit(command, SETTLE_TIMEOUT_SECONDS)
        if outcome.is_err():
            _log.warning("claim_not_settled", kind=type(command).__name__)

    async def clear_lost(self) -> None:
        """Abandon claims whose answer was lost, until cancelled."""
        async for command in self._to_clear:
            await self._clear(command)

    async def _commit_unless_running(
        self,
        command: ClaimKey,
    ) -> Result[ClaimOutcome, ClaimUnavailable]:
        """Propose again while another send of the request runs."""
        outcome = await self._client.commit(command, CLAIM_TIMEOUT_SECONDS)
        for _ in range(MAX_REPEATS):
            if not _is_running(outcome):
                break
            await self._sleep(REPEAT_SECONDS)
            outcome = await self._client.commit(command, CLAIM_TIMEOUT_SECONDS)
        return outcome

    async def _clear(self, command: ClaimKey) -> None:
        outcome = await self._commit_at_last(command)
        if not isinstance(outcome, Claimed):
            return
        proof = NeverWritten(UnwrittenStage.CLAIMING)
        abandon = AbandonClaim(
            command.key,
            outcome.claim_id,
            proof,
        )
        await self._commit_at_last(abandon)

    async def _commit_at_last(self, command: ClaimCommand) -> ClaimOutcome:
        """Return the outcome, however long a quorum stays away."""
        while True:
            outcome = await self._client.commit(
                command,
                SETTLE_TIMEOUT_SECONDS,
            )
            if isinstance(outcome, Ok):
                return outcome.ok_value


def _is_running(outcome: Result[ClaimOutcome, ClaimUnavailable]) -> bool:
    match outcome:
        case Ok(AlreadyRunning()):
            return True
        case _:
            return False

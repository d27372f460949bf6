"""Claims of calls with an idempotency key, made for a node.

Claims are committed through the node's control instance.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio
import structlog
from result import Ok

from rhubarbhollow_calls.not_run_proof import NeverWritten, UnwrittenStage

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from result import Result

    from rhubarbhollow_calls.claim import ClaimCommand, ClaimKey
    from rhubarbhollow_calls.claim_outcome import ClaimOutcome
    from rhubarbhollow_daemon.claim_client import (
        ClaimClient,
        ClaimUnavailable,
    )

CLAIM_TIMEOUT_SECONDS: Final = 3.0
SETTLE_TIMEOUT_SECONDS: Final = 60.0
# Beyond this many waiting, lost claims are logged but not abandoned.
MAX_LOST_CLAIMS: Final = 1_024
# Retries of a claim while the same request is already running.
MAX_RETRIES: Final = 10
RETRY_INTERVAL_SECONDS: Final = 0.05

_log = structlog.get_logger()


class NodeClaims:
    """Make claims for the call path and abandon those that were lost.

    A claim whose answer did not arrive in time may be recorded in the
    ledger although the request never runs. It is proposed again until
    it is answered and then abandoned, so that the next time the caller
    sends the request it can run.
    """

    def __init__(
        self,
        client: ClaimClient,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._client = client
        self._sleep = sleep
        self._lost_sender, self._lost_receiver = (
            anyio.create_memory_object_stream["ClaimKey"](MAX_LOST_CLAIMS)
        )

    async def claim(
        self,
        key: bytes,
        fingerprint: bytes,
        attempt_id: int,
    ) -> ClaimOutcome | None:
        """Claim a request; return ``None`` without an answer in time.

        The answer to a request is sent before it is stored, so a repeat
        that follows immediately waits briefly for the stored answer.
        """
        # Loaded late: most nodes claim nothing, and callers wait for
        # the start of the process.
        from rhubarbhollow_calls.claim import ClaimKey  # noqa: PLC0415

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
            self._lost_sender.send_nowait(command)
        except anyio.WouldBlock:
            _log.warning("lost_claim_not_cleared", key=key.hex())
        return None

    async def settle(self, command: ClaimCommand) -> None:
        """Record how a claimed request ended.

        If no quorum answers in time the claim stays unsettled, and
        repeats of the request are answered with an unknown outcome.
        """
        outcome = await self._client.commit(command, SETTLE_TIMEOUT_SECONDS)
        if outcome.is_err():
            _log.warning("claim_not_settled", kind=type(command).__name__)

    async def abandon_lost_claims(self) -> None:
        """Abandon claims whose answer was lost, until cancelled."""
        async for command in self._lost_receiver:
            await self._abandon(command)

    async def _commit_unless_running(
        self,
        command: ClaimKey,
    ) -> Result[ClaimOutcome, ClaimUnavailable]:
        """Commit, with retries while the same request is running."""
        outcome = await self._client.commit(command, CLAIM_TIMEOUT_SECONDS)
        for _ in range(MAX_RETRIES):
            if not _is_running(outcome):
                break
            await self._sleep(RETRY_INTERVAL_SECONDS)
            outcome = await self._client.commit(command, CLAIM_TIMEOUT_SECONDS)
        return outcome

    async def _abandon(self, command: ClaimKey) -> None:
        from rhubarbhollow_calls.claim import AbandonClaim  # noqa: PLC0415
        from rhubarbhollow_calls.claim_outcome import (  # noqa: PLC0415
            Claimed,
        )

        outcome = await self._commit_until_answered(command)
        if not isinstance(outcome, Claimed):
            return
        proof = NeverWritten(UnwrittenStage.CLAIMING)
        abandon = AbandonClaim(
            command.key,
            outcome.claim_id,
            proof,
        )
        await self._commit_until_answered(abandon)

    async def _commit_until_answered(
        self, command: ClaimCommand
    ) -> ClaimOutcome:
        """Retry without limit until a quorum answers."""
        while True:
            outcome = await self._client.commit(
                command,
                SETTLE_TIMEOUT_SECONDS,
            )
            if isinstance(outcome, Ok):
                return outcome.ok_value


def _is_running(outcome: Result[ClaimOutcome, ClaimUnavailable]) -> bool:
    from rhubarbhollow_calls.claim_outcome import (  # noqa: PLC0415
        AlreadyRunning,
    )

    match outcome:
        case Ok(AlreadyRunning()):
            return True
        case _:
            return False

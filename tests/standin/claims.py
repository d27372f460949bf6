"""An in-process owner of claims."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from rhubarbhollow_calls.claim import ClaimKey
from rhubarbhollow_calls.claim_ledger import ClaimLedger

if TYPE_CHECKING:
    from rhubarbhollow_calls.claim import ClaimCommand
    from rhubarbhollow_calls.claim_outcome import ClaimOutcome


class LedgerClaims:
    """Apply claim commands to one ledger.

    Answers wait while ``can_answer`` is clear, and none are given
    while ``is_reachable`` is false.
    """

    def __init__(self) -> None:
        self.ledger = ClaimLedger()
        self.settled: list[ClaimCommand] = []
        self.is_reachable = True
        self.can_answer = asyncio.Event()
        self.can_answer.set()

    async def claim(
        self, key: bytes, fingerprint: bytes, attempt_id: int
    ) -> ClaimOutcome | None:
        await self.can_answer.wait()
        if not self.is_reachable:
            return None
        return self.ledger.apply(
            ClaimKey(key, fingerprint, "a", 1, attempt_id, 1_000)
        )

    async def settle(self, command: ClaimCommand) -> None:
        self.settled.append(command)
        self.ledger.apply(command)

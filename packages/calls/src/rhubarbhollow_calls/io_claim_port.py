"""The way to the owner of a request's idempotency key."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from rhubarbhollow_calls.claim import ClaimCommand
    from rhubarbhollow_calls.claim_outcome import ClaimOutcome


class ClaimPort(Protocol):
    """Record claims where they survive this node.

    Both methods return only once the claim or the end is durable, and
    deal with lost answers and unreachable owners themselves.
    """

    async def claim(
        self, key: bytes, fingerprint: bytes, attempt_id: int
    ) -> ClaimOutcome | None:
        """Ask to run a request; nothing means no answer in time."""
        ...

    async def settle(self, command: ClaimCommand) -> None:
        """Record how a claimed request ended."""
        ...

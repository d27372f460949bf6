"""The interface to the claim ledger."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from rhubarbhollow_calls.claim import ClaimCommand
    from rhubarbhollow_calls.claim_outcome import ClaimOutcome


class ClaimPort(Protocol):
    """Record claims durably, so that they survive a crash of this node.

    Unless they time out, both methods return only once the claim or its
    outcome is durable. They handle lost replies and an unreachable
    claim ledger themselves.
    """

    async def claim(
        self, key: bytes, fingerprint: bytes, attempt_id: int
    ) -> ClaimOutcome | None:
        """Claim a request to run it, or return ``None`` on timeout."""
        ...

    async def settle(self, command: ClaimCommand) -> None:
        """Record the outcome of a claimed request."""
        ...

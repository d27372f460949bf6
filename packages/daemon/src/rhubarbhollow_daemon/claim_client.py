"""A node's client for the replicated claim ledger."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import anyio
from result import Err, Ok, Result

from rhubarbhollow_daemon.node_messages import ClaimRequest
from rhubarbhollow_daemon.pending_answers import PendingAnswers

if TYPE_CHECKING:
    from rhubarbhollow_calls.claim import ClaimCommand
    from rhubarbhollow_calls.claim_outcome import ClaimOutcome
    from rhubarbhollow_daemon.node_messages import ClaimAnswer
    from rhubarbhollow_daemon.outbox import Outbox

ANSWER_TIMEOUT_SECONDS: Final = 0.5
RETRY_SECONDS: Final = 0.05


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """No outcome arrived in time; the command may still commit."""


class ClaimClient:
    """Commit claim commands through the node's control instance.

    A command is retransmitted until its deadline. The ledger recognises
    a repeated command by its attempt and answers it like the first.
    """

    def __init__(self, node: str, incarnation: int, outbox: Outbox) -> None:
        self._node = node
        self._incarnation = incarnation
        self._outbox = outbox
        self._pending = PendingAnswers[bytes]()

    @property
    def node(self) -> str:
        """Return the node name that claims are made under."""
        return self._node

    @property
    def incarnation(self) -> int:
        """Return the incarnation of this process, which owns claims."""
        return self._incarnation

    async def commit(
        self,
        command: ClaimCommand,
        timeout_seconds: float,
    ) -> Result[ClaimOutcome, ClaimUnavailable]:
        """Commit a command and return its outcome.

        Returns ``ClaimUnavailable`` if no outcome arrives within
        ``timeout_seconds``.
        """
        # Loaded late: most nodes claim nothing, and callers wait for
        # the start of the process.
        from rhubarbhollow_calls.claim_codec import (  # noqa: PLC0415
            decode_outcome,
            encode_command,
        )

        encoded = encode_command(command)
        with anyio.move_on_after(timeout_seconds):
            while True:
                outcome = await self._request_outcome(encoded)
                decoded = decode_outcome(outcome) if outcome else None
                if isinstance(decoded, Ok):
                    return Ok(decoded.ok_value)
                await anyio.sleep(RETRY_SECONDS)
        return Err(ClaimUnavailable())

    def deliver(self, answer: ClaimAnswer) -> None:
        """Deliver an answer to the request that waits for it."""
        self._pending.deliver(answer.request_id, answer.outcome)

    async def _request_outcome(self, encoded: bytes) -> bytes:
        def send(request_id: int) -> None:
            self._outbox.put(ClaimRequest(request_id, encoded))

        outcome = await self._pending.ask(send, ANSWER_TIMEOUT_SECONDS)
        return outcome or b""

"""A node's requests to the claim ledger."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import anyio
from result import Err, Ok, Result

from rhubarbhollow_calls.claim_codec import decode_outcome, encode_command
from rhubarbhollow_daemon.messages import ClaimAnswer, ClaimRequest

if TYPE_CHECKING:
    from rhubarbhollow_calls.claim import ClaimCommand
    from rhubarbhollow_calls.claim_outcome import ClaimOutcome
    from rhubarbhollow_daemon.outbox import Outbox

ANSWER_TIMEOUT_SECONDS: Final = 0.5
RETRY_SECONDS: Final = 0.05


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """No quorum answered in time; the command may yet be committed."""


class ClaimClient:
    """Have commands committed through the node's control instance.

    A command is sent again until its deadline; the ledger knows a
    repeat by its attempt and answers it like the first.
    """

    def __init__(self, node: str, incarnation: int, outbox: Outbox) -> None:
        self._node = node
        self._incarnation = incarnation
        self._outbox = outbox
        self._last_id = 0
        self._waiting: dict[int, _Waiter] = {}

    @property
    def node(self) -> str:
        """Return the name under which this node claims."""
        return self._node

    @property
    def incarnation(self) -> int:
        """Return the start of this process that claims belong to."""
        return self._incarnation

    async def commit(
        self,
        command: ClaimCommand,
        timeout_seconds: float,
    ) -> Result[ClaimOutcome, ClaimUnavailable]:
        """Return the outcome, or that there is none in time."""
        encoded = encode_command(command)
        with anyio.move_on_after(timeout_seconds):
            while True:
                outcome = await self._ask(encoded)
                decoded = decode_outcome(outcome) if outcome else None
                if isinstance(decoded, Ok):
                    return Ok(decoded.ok_value)
                await anyio.sleep(RETRY_SECONDS)
        return Err(ClaimUnavailable())

    def take(self, answer: ClaimAnswer) -> None:
        """Hand an answer to the request that waits for it."""
        waiter = self._waiting.get(answer.request_id)
        if waiter is not None:
            waiter.outcome = answer.outcome
            waiter.done.set()

    async def _ask(self, encoded: bytes) -> bytes:
        self._last_id += 1
        request_id = self._last_id
        waiter = self._waiting[request_id] = _Waiter(anyio.Event())
        self._outbox.put(ClaimRequest(request_id, encoded))
        try:
            with anyio.move_on_after(ANSWER_TIMEOUT_SECONDS):
                await waiter.done.wait()
        finally:
            del self._waiting[request_id]
        return waiter.outcome


@dataclass(slots=True)
class _Waiter:
    done: anyio.Event
    outcome: bytes = b""

"""Commitment of nodes' claim commands by the leader of their log."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

import anyio
import structlog
from result import Err

from rhubarbhollow_calls.claim import ClaimKey, ExpireClaims
from rhubarbhollow_calls.claim_codec import (
    ClaimCodecFault,
    decode_command,
    encode_command,
    encode_outcome,
)
from rhubarbhollow_calls.claim_ledger import RETENTION_MS
from rhubarbhollow_daemon.log_group import LogGroup
from rhubarbhollow_daemon.messages import ProposeAnswer
from rhubarbhollow_daemon.node_messages import ClaimAnswer, ClaimRequest
from rhubarbhollow_daemon.propose_relay import ProposeRelay
from rhubarbhollow_replication.role import Role

if TYPE_CHECKING:
    from collections.abc import Callable

    from rhubarbhollow_daemon.claim_machine import ClaimMachine
    from rhubarbhollow_daemon.messages import ProposeRequest
    from rhubarbhollow_daemon.peer_links import PeerLinks
    from rhubarbhollow_replication.replica import Replica
    from rhubarbhollow_wire.clock import Clock

CLAIM_KIND: Final = 2
MAX_CONCURRENT_COMMANDS: Final = 1_024
ANSWER_TIMEOUT_SECONDS: Final = 2.0
EXPIRY_INTERVAL_SECONDS: Final = 60.0
MS_PER_SECOND: Final = 1000

HTTP_OK: Final = 200
HTTP_UNAVAILABLE: Final = 503

_log = structlog.get_logger()


class ClaimService:
    """Commit claim commands on the leader, or relay them to it.

    An empty outcome means that the result is unknown: the node sends
    the same command again, and the ledger answers a repeated command
    like the first. It is also sent, after a timeout, while no quorum
    answers, so that the number of waiting commands stays bounded.
    """

    def __init__(
        self,
        machine: ClaimMachine,
        replica: Replica,
        links: PeerLinks,
        clock: Clock,
    ) -> None:
        self._machine = machine
        self._replica = replica
        self._links = links
        self._clock = clock
        self._relay = ProposeRelay(links, LogGroup.CLAIMS, CLAIM_KIND)
        self._slots = anyio.CapacityLimiter(MAX_CONCURRENT_COMMANDS)

    async def serve_node(
        self,
        request: ClaimRequest,
        send: Callable[[object], None],
    ) -> None:
        """Send a node the outcome of its command.

        The outcome is empty if none is known in time.
        """
        outcome = b""
        with anyio.move_on_after(ANSWER_TIMEOUT_SECONDS):
            async with self._slots:
                outcome = await self._find_outcome(request.command)
        send(ClaimAnswer(request.request_id, outcome))

    async def serve_peer(self, control: str, request: ProposeRequest) -> None:
        """Commit a command that another control instance relayed."""
        outcome = b""
        with anyio.move_on_after(ANSWER_TIMEOUT_SECONDS):
            async with self._slots:
                outcome = await self._commit(request.payload)
        answer = ProposeAnswer(
            request.request_id,
            HTTP_OK if outcome else HTTP_UNAVAILABLE,
            outcome,
            self._replica.status.leader or "",
        )
        self._links.send(control, answer)

    def deliver_answer(self, answer: ProposeAnswer) -> None:
        """Deliver the leader's answer to the waiting command."""
        self._relay.deliver(answer)

    async def expire(self) -> None:
        """Propose the expiry of old claims periodically, if leading."""
        while True:
            await anyio.sleep(EXPIRY_INTERVAL_SECONDS)
            if self._replica.status.role is not Role.LEADER:
                continue
            if self._machine.ledger.claims == 0:
                continue
            command = ExpireClaims(self._now_ms() - RETENTION_MS)
            await self._replica.propose(encode_command(command))

    async def _find_outcome(self, command: bytes) -> bytes:
        status = self._replica.status
        if status.role is Role.LEADER:
            return await self._commit(command)
        if status.leader is not None:
            return await self._relay_to_leader(status.leader, command)
        return b""

    async def _commit(self, encoded: bytes) -> bytes:
        decoded = decode_command(encoded)
        if isinstance(decoded, Err):
            _log.warning("claim_unreadable", fault=repr(decoded.err_value))
            return b""
        command = decoded.ok_value
        if isinstance(command, ExpireClaims):
            # Only the leader's own timer may expire claims.
            _log.warning("expiry_refused")
            return b""
        if isinstance(command, ClaimKey):
            # The leader's clock, so that all replicas expire alike.
            command = replace(command, claimed_at_ms=self._now_ms())
        proposed = await self._replica.propose(encode_command(command))
        if isinstance(proposed, Err):
            return b""
        outcome = proposed.ok_value
        if isinstance(outcome, ClaimCodecFault):
            return b""
        return encode_outcome(outcome)  # type: ignore[arg-type]

    async def _relay_to_leader(self, leader: str, command: bytes) -> bytes:
        answer = await self._relay.ask(
            leader,
            command,
            ANSWER_TIMEOUT_SECONDS,
        )
        return b"" if answer is None else answer.outcome

    def _now_ms(self) -> int:
        return int(self._clock.utc().timestamp() * MS_PER_SECOND)

"""Access to the log of releases from any control instance."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Final

import anyio
import structlog
from result import Err

from rhubarbhollow_daemon.document_outcome import (
    DocumentOutcome,
    DocumentVerdict,
    outcome_of_command,
    outcome_of_fault,
)
from rhubarbhollow_daemon.log_group import LogGroup
from rhubarbhollow_daemon.messages import ProposeAnswer
from rhubarbhollow_daemon.propose_relay import ProposeRelay
from rhubarbhollow_daemon.submission_kind import SubmissionKind
from rhubarbhollow_distribution.departure_command import (
    decode_departure_command,
    is_departure_command,
)
from rhubarbhollow_release.command import SubmitRelease, decode_command
from rhubarbhollow_replication.role import Role
from rhubarbhollow_rollout.command import (
    StartRollout,
    decode_rollout_command,
    is_rollout_command,
)

if TYPE_CHECKING:
    from rhubarbhollow_daemon.messages import ProposeRequest
    from rhubarbhollow_daemon.peer_links import PeerLinks
    from rhubarbhollow_daemon.release_machine import ReleaseMachine
    from rhubarbhollow_replication.replica import Replica

# Operators' clients try another instance after one second.
ANSWER_DEADLINE_SECONDS: Final = 0.9
MAX_RELAYED_REQUESTS: Final = 64

_LOG_INDEX: Final = struct.Struct(">Q")

_log = structlog.get_logger()


class ReleaseLog:
    """Propose commands and confirm the ledger, here or at the leader.

    An instance that does not lead plans a command on its own ledger and
    relays only that, which is as small as the change. The leader
    refuses it if it is not based on the latest release.
    """

    def __init__(
        self, replica: Replica, machine: ReleaseMachine, links: PeerLinks
    ) -> None:
        self._replica = replica
        self._machine = machine
        self._links = links
        self._commands = ProposeRelay(
            links, LogGroup.RELEASES, SubmissionKind.COMMAND
        )
        self._reads = ProposeRelay(
            links, LogGroup.RELEASES, SubmissionKind.READ_INDEX
        )
        self._limiter = anyio.CapacityLimiter(MAX_RELAYED_REQUESTS)
        self._applied = anyio.Event()
        replica.on_applied(self._on_applied)

    async def propose(self, command: bytes) -> DocumentOutcome:
        """Commit a command and return the ledger's verdict on it."""
        if self._replica.status.role is Role.LEADER:
            return await self._propose_here(command)
        leader = self._connected_leader()
        if leader is None:
            return unavailable("no connection to a leader")
        answer = await self._commands.ask(
            leader, command, ANSWER_DEADLINE_SECONDS
        )
        if answer is None:
            return DocumentOutcome(
                DocumentVerdict.UNKNOWN, "the leader did not answer"
            )
        return DocumentOutcome(
            DocumentVerdict(answer.status), answer.outcome.decode()
        )

    async def confirm(self) -> bool:
        """Return whether this instance's ledger was confirmed.

        If true, a quorum has answered a round begun after the call, and
        everything acknowledged before the call is applied here.
        """
        if self._replica.status.role is Role.LEADER:
            return await self._replica.confirm_leadership()
        index = await self._read_index()
        if index is None:
            return False
        while self._replica.status.applied_index < index:
            await self._applied.wait()
        return True

    def deliver_answer(self, answer: ProposeAnswer) -> None:
        """Deliver a leader's answer to the waiting request."""
        self._commands.deliver(answer)
        self._reads.deliver(answer)

    async def serve(self, control: str, request: ProposeRequest) -> None:
        """Answer a request that another control instance relayed."""
        async with self._limiter:
            try:
                answer = await self._answer(request)
            except Exception:
                # An uncaught exception would end this process, and a
                # retry would end the next leader.
                _log.exception("relayed_request_failed", peer=control)
                return
        self._links.send(control, answer)

    async def _answer(self, request: ProposeRequest) -> ProposeAnswer:
        leader = self._replica.status.leader or ""
        if request.kind == SubmissionKind.READ_INDEX:
            index = await self._replica.confirm_commit_index()
            payload = b"" if index is None else _LOG_INDEX.pack(index)
            return ProposeAnswer(request.request_id, 0, payload, leader)
        outcome: DocumentOutcome | None
        outcome = unavailable(f"requests of kind {request.kind} are unknown")
        if request.kind == SubmissionKind.COMMAND:
            outcome = self._reject(request.payload)
            outcome = outcome or await self._propose_here(request.payload)
        return ProposeAnswer(
            request.request_id,
            int(outcome.verdict),
            outcome.detail.encode(),
            leader,
        )

    def _reject(self, payload: bytes) -> DocumentOutcome | None:
        """Return why a relayed command may not be stored, or ``None``.

        What is stored is applied by every instance, so the leader does
        not rely on the checks of the instance that planned it.
        """
        if is_rollout_command(payload):
            return _reject_rollout(payload)
        if is_departure_command(payload):
            departures = decode_departure_command(payload)
            if isinstance(departures, Err):
                return _invalid(departures.err_value.detail)
            return None
        decoded = decode_command(payload)
        if isinstance(decoded, Err):
            return _invalid(repr(decoded.err_value))
        command = decoded.ok_value
        if not isinstance(command, SubmitRelease):
            return _invalid(f"{type(command).__name__} is not relayed")
        signature = self._machine.ledger.check_signature(command.approval)
        if isinstance(signature, Err):
            return _invalid(signature.err_value.detail)
        return None

    async def _propose_here(self, command: bytes) -> DocumentOutcome:
        with anyio.move_on_after(ANSWER_DEADLINE_SECONDS):
            proposed = await self._replica.propose(command)
            if isinstance(proposed, Err):
                return outcome_of_fault(proposed.err_value)
            return outcome_of_command(proposed.ok_value)
        return DocumentOutcome(
            DocumentVerdict.UNKNOWN, "the command was not committed in time"
        )

    async def _read_index(self) -> int | None:
        leader = self._connected_leader()
        if leader is None:
            return None
        answer = await self._reads.ask(leader, b"", ANSWER_DEADLINE_SECONDS)
        if answer is None or not answer.outcome:
            return None
        (index,) = _LOG_INDEX.unpack(answer.outcome)
        return int(index)

    def _connected_leader(self) -> str | None:
        leader = self._replica.status.leader or ""
        link = self._links.by_name.get(leader)
        return leader if link is not None and link.is_up else None

    def _on_applied(self, index: int) -> None:
        del index
        self._applied.set()
        self._applied = anyio.Event()


def unavailable(detail: str) -> DocumentOutcome:
    """Return the outcome of a request that changed nothing."""
    return DocumentOutcome(DocumentVerdict.UNAVAILABLE, detail)


def _invalid(detail: str) -> DocumentOutcome:
    return DocumentOutcome(DocumentVerdict.INVALID, detail)


def _reject_rollout(payload: bytes) -> DocumentOutcome | None:
    """Return why a command on rollouts is refused, or ``None``.

    Only the leader itself sets exposures and outcomes.
    """
    decoded = decode_rollout_command(payload)
    if isinstance(decoded, Err):
        return _invalid(repr(decoded.err_value))
    if not isinstance(decoded.ok_value, StartRollout):
        return _invalid(f"{type(decoded.ok_value).__name__} is not relayed")
    return None

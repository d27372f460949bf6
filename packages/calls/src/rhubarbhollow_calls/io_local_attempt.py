"""An attempt at the upstream beside this node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.call_result import CallResult
from rhubarbhollow_calls.io_attempt import Attempt, AttemptFailure
from rhubarbhollow_calls.io_client import BreakCause
from rhubarbhollow_calls.io_fingerprint import (
    FINGERPRINTED_BODY_BYTES,
    fingerprint_request,
)
from rhubarbhollow_calls.not_run_proof import (
    NeverWritten,
    RefusedByUpstream,
    UnwrittenStage,
    UpstreamSignal,
)
from rhubarbhollow_calls.quarantine_verdict import (
    HeldSuspect,
    MayRun,
    Quarantined,
)
from rhubarbhollow_calls.refusal import Refusal, RefusalKind
from rhubarbhollow_calls.slot_admission import SlotRefusal

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_answer_head import AnswerHead
    from rhubarbhollow_calls.http_request_head import RequestHead
    from rhubarbhollow_calls.io_attempt import AttemptOwner
    from rhubarbhollow_calls.io_local_port import LocalPort
    from rhubarbhollow_calls.io_request_body import RequestBody
    from rhubarbhollow_calls.quarantine import Quarantine
    from rhubarbhollow_calls.slot_ticket import Ticket

_SHED_STATUS: Final = 503
_MISDIRECTED_STATUS: Final = 421
_REFUSAL_STATUSES: Final = frozenset((408, 421, 429, 503))
_SUCCESS_CLASS: Final = 2

_KINDS: Final = {
    SlotRefusal.QUEUE_FULL: RefusalKind.QUEUE_FULL,
    SlotRefusal.DEADLINE: RefusalKind.DEADLINE,
    SlotRefusal.DRAINING: RefusalKind.DRAINING,
    SlotRefusal.TOO_LATE: RefusalKind.QUEUE_FULL,
}


class LocalAttempt(Attempt):
    """Wait for a slot, then run the request on the upstream.

    A slot is asked for once the part of the body that the fingerprint
    covers has come, so a slow sender holds none while nothing runs.
    """

    __slots__ = (
        "_epoch",
        "_fingerprint",
        "_granted_at",
        "_has_asked",
        "_has_slot",
        "_port",
        "_route",
        "_ticket",
    )

    def __init__(
        self,
        owner: AttemptOwner,
        head: RequestHead,
        body: RequestBody,
        port: LocalPort,
        ticket: Ticket,
        route: bytes,
    ) -> None:
        super().__init__(owner, head, body)
        self._port = port
        self._ticket = ticket
        self._route = route
        self._has_asked = False
        self._has_slot = False
        self._fingerprint: bytes | None = None
        self._epoch = 0
        self._granted_at = 0.0

    @property
    def stage(self) -> UnwrittenStage:
        """Return how far an unwritten request has come."""
        if self._has_slot:
            return UnwrittenStage.CONNECTING
        return UnwrittenStage.QUEUED

    @property
    def held_seconds(self) -> float | None:
        """Return how long a slot of this node has been held."""
        if not self._has_slot:
            return None
        return self._port.now() - self._granted_at

    def start(self) -> None:
        """Ask for a slot, once enough of the body is there."""
        body = self._body
        if body.is_whole or body.size >= FINGERPRINTED_BODY_BYTES:
            self._has_asked = True
            self._ticket = self._port.estimate(self._ticket, self._route)
            self._port.request_slot(self, self._ticket)

    def request_data(self, data: bytes) -> None:
        """Write a part of the body, or see whether it is enough."""
        super().request_data(data)
        if not self._has_asked:
            self.start()

    def request_ended(self) -> None:
        """Write the end of the body, or start now that it is whole."""
        super().request_ended()
        if not self._has_asked:
            self.start()

    # From the port.

    def slot_granted(self) -> None:
        """Take a connection, unless the request is a suspect."""
        if self._is_over:
            self._port.release_slot()
            return
        self._has_slot = True
        self._granted_at = self._port.now()
        quarantine = self._port.quarantine
        if quarantine is None or self._may_start(quarantine):
            self._acquire(self._port.pool)

    def slot_refused(self, reason: SlotRefusal) -> None:
        """Fail without a slot."""
        self._fail_unwritten(_KINDS[reason], "")

    def slot_expired(self) -> None:
        """Fail, since the deadline passed in the queue."""
        self._fail_unwritten(RefusalKind.DEADLINE, "no slot in time")

    def _may_start(self, quarantine: Quarantine) -> bool:
        fingerprint = fingerprint_request(self._route, self._head, self._body)
        verdict = quarantine.try_start(fingerprint)
        match verdict:
            case MayRun(epoch):
                self._fingerprint = fingerprint
                self._epoch = epoch
                return True
            case HeldSuspect():
                self._fail_unwritten(RefusalKind.SUSPECT_HELD, "")
            case Quarantined(crashes, seconds):
                self._fail_unwritten(
                    RefusalKind.QUARANTINED,
                    f"{crashes} crashes, {seconds:.0f} s left",
                )
        return False

    def _fail_unwritten(self, kind: RefusalKind, detail: str) -> None:
        proof = NeverWritten(UnwrittenStage.ADMISSION)
        refusal = Refusal.not_run(kind, proof, detail)
        result = CallResult.REFUSED_NOT_RUN
        if kind is RefusalKind.QUEUE_FULL and self._ticket.objective_ms:
            result = CallResult.BUSY
        self._fail(AttemptFailure(refusal, result))

    def _give_back(self, result: CallResult) -> None:
        if self._fingerprint is not None:
            self._end_fingerprint(self._fingerprint, result)
        if self._has_slot:
            self._has_slot = False
            if result is CallResult.ANSWERED:
                seconds = self._port.now() - self._granted_at
                self._port.service_times.note(self._route, seconds)
            self._port.release_slot()
        elif self._has_asked:
            self._port.cancel_slot(self._ticket.call_id)

    def _end_fingerprint(self, fingerprint: bytes, result: CallResult) -> None:
        self._fingerprint = None
        if result is CallResult.ANSWERED:
            self._port.note_completed(fingerprint, self._epoch)
        elif result is CallResult.BROKEN:
            self._port.note_broken(fingerprint, self._epoch)
        else:
            self._port.note_abandoned(fingerprint, self._epoch)

    def answer_started(self, head: AnswerHead) -> None:
        """Pass the head on, unless nothing ties it to this request."""
        is_success = head.status // 100 == _SUCCESS_CLASS
        if self._echoed_id() and is_success and head.request_id is None:
            connection, self._connection = self._connection, None
            if connection is not None:
                connection.abort()
            self.connection_broken(BreakCause.BAD_ANSWER)
            return
        super().answer_started(head)

    def _lines(self) -> bytes:
        return self._owner.upstream_lines(self._port.upstream)

    def _echoed_id(self) -> bytes | None:
        if not self._port.dialect.is_foreign:
            return None
        return self._head.mesh.request_id

    def _is_refusal(self, head: AnswerHead) -> bool:
        if self._port.dialect.is_foreign:
            is_marked = head.is_not_run and head.status in _REFUSAL_STATUSES
            return is_marked or head.status == _MISDIRECTED_STATUS
        return head.is_not_run and head.status == _SHED_STATUS

    def _read_refusal(self, head: AnswerHead) -> AttemptFailure:  # noqa: ARG002
        proof = RefusedByUpstream(UpstreamSignal.SHED)
        refusal = Refusal.not_run(RefusalKind.SHED, proof, "upstream is full")
        return AttemptFailure(refusal, CallResult.REFUSED_NOT_RUN)

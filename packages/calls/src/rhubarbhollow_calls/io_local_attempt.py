"""Attempts at the local upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls import http_names as names
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
    DeferredSuspect,
    MayRun,
    Quarantined,
)
from rhubarbhollow_calls.refusal import Refusal, RefusalKind
from rhubarbhollow_calls.slot_admission import SlotRefusal

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_request_head import RequestHead
    from rhubarbhollow_calls.http_response_head import ResponseHead
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
    SlotRefusal.CANNOT_END: RefusalKind.QUEUE_FULL,
}

_DETAILS: Final = {
    SlotRefusal.QUEUE_FULL: "the queue of the upstream is full",
    SlotRefusal.TOO_LATE: "the upstream is too busy to start the request"
    " within its latency objective",
    SlotRefusal.CANNOT_END: "the request would be cut off by its deadline"
    " before it ends",
}


class LocalAttempt(Attempt):
    """Wait for a slot, then run the request on the local upstream.

    The slot is requested only after the part of the body that the
    fingerprint covers has arrived, so that a slow sender does not
    occupy a slot before its request can run.
    """

    __slots__ = (
        "_attempt_id",
        "_epoch",
        "_fingerprint",
        "_granted_at",
        "_has_requested_slot",
        "_has_slot",
        "_is_until_close",
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
        self._attempt_id = port.next_attempt_id()
        self._ticket = ticket
        self._route = route
        self._has_requested_slot = False
        self._has_slot = False
        self._is_until_close = False
        self._fingerprint: bytes | None = None
        self._epoch = 0
        self._granted_at = 0.0

    @property
    def stage(self) -> UnwrittenStage:
        """Return the stage that the unwritten request has reached."""
        if self._has_slot:
            return UnwrittenStage.CONNECTING
        return UnwrittenStage.QUEUED

    @property
    def held_seconds(self) -> float | None:
        """Return how long a slot has been held, or ``None``."""
        if not self._has_slot:
            return None
        return self._port.now() - self._granted_at

    def start(self) -> None:
        """Request a slot, once enough of the body has arrived."""
        body = self._body
        if body.is_whole or body.size >= FINGERPRINTED_BODY_BYTES:
            self._has_requested_slot = True
            self._ticket = self._port.estimate(self._ticket, self._route)
            self._port.request_slot(self, self._ticket)

    def request_data(self, data: bytes) -> None:
        """Write a part of the body, or request a slot for it."""
        super().request_data(data)
        if not self._has_requested_slot:
            self.start()

    def request_ended(self) -> None:
        """Write the end of the body, or request a slot for it."""
        super().request_ended()
        if not self._has_requested_slot:
            self.start()

    # Called by the local port.

    def slot_granted(self) -> None:
        """Acquire a connection, unless the call may no longer run.

        Its key may have been revoked, or the request be in quarantine.
        """
        if self._is_over:
            self._port.release_slot()
            return
        self._has_slot = True
        self._granted_at = self._port.now()
        if not self._owner.is_key_held():
            self._fail_unwritten(
                RefusalKind.KEY_WITHDRAWN,
                "the key was revoked before the request could run",
            )
            return
        quarantine = self._port.quarantine
        if quarantine is None or self._may_start(quarantine):
            self._acquire(self._port.pool)

    def slot_refused(self, reason: SlotRefusal) -> None:
        """Fail the attempt, since its slot was refused."""
        self._fail_unwritten(_KINDS[reason], _DETAILS.get(reason, ""))

    def slot_expired(self) -> None:
        """Fail the attempt, since its deadline passed in the queue."""
        self._fail_unwritten(
            RefusalKind.DEADLINE, "no slot became free by the deadline"
        )

    def _may_start(self, quarantine: Quarantine) -> bool:
        fingerprint = fingerprint_request(self._route, self._head, self._body)
        verdict = quarantine.try_start(fingerprint)
        match verdict:
            case MayRun(epoch):
                self._fingerprint = fingerprint
                self._epoch = epoch
                return True
            case DeferredSuspect():
                self._fail_unwritten(RefusalKind.SUSPECT_HELD, "")
            case Quarantined(crashes, seconds):
                self._fail_unwritten(
                    RefusalKind.QUARANTINED,
                    f"the request was in flight at {crashes} upstream crashes"
                    f" and is refused for {seconds:.0f} s more",
                )
        return False

    def _fail_unwritten(self, kind: RefusalKind, detail: str) -> None:
        proof = NeverWritten(UnwrittenStage.ADMISSION)
        refusal = Refusal.not_run(kind, proof, detail)
        result = CallResult.REFUSED_NOT_RUN
        if kind is RefusalKind.QUEUE_FULL and self._ticket.objective_ms:
            result = CallResult.BUSY
        self._fail(AttemptFailure(refusal, result))

    def _release_resources(self, result: CallResult) -> None:
        if self._fingerprint is not None:
            self._report_to_quarantine(self._fingerprint, result)
        if self._has_slot:
            self._has_slot = False
            self._record_service_time(result)
            self._port.release_slot()
        elif self._has_requested_slot:
            self._port.cancel_slot(self._ticket.call_id)

    def _record_service_time(self, result: CallResult) -> None:
        now = self._port.now()
        seconds = now - self._granted_at
        if result is CallResult.ANSWERED:
            self._port.record_service_time(self._route, seconds, now)
        elif result is CallResult.CANCELLED:
            # Cut off by the deadline or by a caller that left.
            self._port.record_cut(self._route, seconds, now)

    def _report_to_quarantine(
        self, fingerprint: bytes, result: CallResult
    ) -> None:
        self._fingerprint = None
        if result is CallResult.ANSWERED:
            self._port.note_completed(fingerprint, self._epoch)
        elif result is CallResult.BROKEN:
            self._port.note_broken(fingerprint, self._epoch)
        else:
            self._port.note_abandoned(fingerprint, self._epoch)

    def response_started(self, head: ResponseHead) -> None:
        """Forward the head, unless it lacks the required request id.

        Upstreams of a foreign dialect repeat the id; a 2xx response
        without one cannot be matched with its request.
        """
        self._port.speed.observe(head.work_percent, self._port.now())
        is_success = head.status // 100 == _SUCCESS_CLASS
        if (
            self._port.dialect.is_foreign
            and self._expected_request_id()
            and is_success
            and head.request_id is None
        ):
            connection, self._connection = self._connection, None
            if connection is not None:
                connection.abort()
            self.connection_broken(BreakCause.BAD_RESPONSE)
            return
        self._is_until_close = head.is_until_close
        super().response_started(head)
        if self._refusal_head is not None and self._connection is not None:
            # Another copy of the refusal could pass for the refusal of
            # a later request with the same id.
            self._connection.close_after_response()

    def response_ended(self) -> None:
        """End the attempt, once it is known that the response is whole.

        The end of the connection may be that of the upstream's process.
        """
        if self._is_until_close and self._refusal_head is None:
            self._connection = None
            self._port.confirm_running(self._end_confirmed)
            return
        super().response_ended()

    def _end_confirmed(self, *, is_running: bool) -> None:
        if self._is_over:
            return
        if is_running:
            super().response_ended()
        else:
            self.connection_broken(BreakCause.CLOSED)

    def _field_lines(self) -> bytes:
        lines = self._owner.upstream_field_lines(self._port.upstream)
        if self._port.dialect.is_foreign:
            return lines
        return lines + b"%b: %b\r\n" % (names.ATTEMPT, self._attempt_id)

    def _expected_request_id(self) -> bytes | None:
        if not self._port.dialect.is_foreign:
            return self._attempt_id
        return self._head.mesh.request_id

    def _is_refusal(self, head: ResponseHead) -> bool:
        if self._port.dialect.is_foreign:
            is_marked = head.is_not_run and head.status in _REFUSAL_STATUSES
            return is_marked or head.status == _MISDIRECTED_STATUS
        return head.is_not_run and head.status == _SHED_STATUS

    def _read_refusal(self, head: ResponseHead) -> AttemptFailure:  # noqa: ARG002
        proof = RefusedByUpstream(UpstreamSignal.SHED)
        refusal = Refusal.not_run(
            RefusalKind.SHED, proof, "the upstream refused the request"
        )
        return AttemptFailure(refusal, CallResult.REFUSED_NOT_RUN)

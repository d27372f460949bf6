"""The exchange for a non-idempotent call with an idempotency key."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls import http_names as names
from rhubarbhollow_calls.call_fingerprint import (
    FINGERPRINT_BYTES,
    fingerprint_call,
)
from rhubarbhollow_calls.claim import AnswerHeader
from rhubarbhollow_calls.claim_decision import (
    AnswerEnd,
    NotRunEnd,
    RefuseClaim,
    ReplayAnswer,
    RunClaimed,
    UnknownEnd,
    decide_claim,
    settle_claim,
)
from rhubarbhollow_calls.claim_ledger import MAX_ANSWER_BYTES
from rhubarbhollow_calls.http_encoding import CLOSE_LINE, encode_status
from rhubarbhollow_calls.http_limits import MAX_REPLAY_BYTES
from rhubarbhollow_calls.io_caller_exchange import CallerExchange
from rhubarbhollow_calls.not_run_proof import NeverWritten, UnwrittenStage
from rhubarbhollow_calls.refusal import RefusalKind

if TYPE_CHECKING:
    from rhubarbhollow_calls.claim_decision import ClaimEnd
    from rhubarbhollow_calls.claim_outcome import StoredAnswer
    from rhubarbhollow_calls.deadline import Deadline
    from rhubarbhollow_calls.http_request_head import RequestHead
    from rhubarbhollow_calls.http_response_head import ResponseHead
    from rhubarbhollow_calls.io_claim_port import ClaimPort
    from rhubarbhollow_calls.io_downstream import Downstream
    from rhubarbhollow_calls.io_node import CallNode
    from rhubarbhollow_calls.io_route_state import RouteState
    from rhubarbhollow_tenants.identity import Identity

# Includes the name of the route, which prefixes the caller's key.
MAX_KEY_BYTES: Final = 255


class KeyedExchange(CallerExchange):
    """Claim the key before the first attempt and settle it at the end.

    The complete body is read first, because the claim covers it.  The
    body may therefore be no longer than the replay buffer.
    """

    __slots__ = (
        "_claim_id",
        "_claims",
        "_is_response_whole",
        "_key",
        "_response_bytes",
        "_response_head",
        "_response_parts",
    )

    def __init__(
        self,
        node: CallNode,
        downstream: Downstream,
        head: RequestHead,
        request_id: bytes,
        deadline: Deadline,
        state: RouteState,
        now: float,
        claims: ClaimPort,
        key: bytes,
        identity: Identity | None = None,
    ) -> None:
        super().__init__(
            node, downstream, head, request_id, deadline, state, now, identity
        )
        self._claims = claims
        # A caller's keys are unique only among its own requests, so the
        # route name separates them from those of other routes, and the
        # tenant's name from those of other tenants: they must not get
        # each other's answers. Neither name contains a semicolon.
        self._key = b"%b/%b" % (state.route.name.encode(), key)
        if identity is not None:
            self._key = b";%b;%b" % (identity.name, self._key)
        self._claim_id: int | None = None
        self._response_head: ResponseHead | None = None
        self._is_response_whole = False
        self._response_parts: list[bytes] = []
        self._response_bytes = 0

    def start(self) -> None:
        """Wait for the complete body, unless the key is too long."""
        self._state.budget.record_call()
        if len(self._key) > MAX_KEY_BYTES:
            self._refuse_unclaimed(
                RefusalKind.BAD_REQUEST,
                f"route name and idempotency key exceed {MAX_KEY_BYTES} bytes",
            )
        elif self._quota_wait is not None:
            self._quota_wait.begin(self)

    def _start_admitted(self) -> None:
        if self._body.is_whole:
            self._node.spawn(self._claim())

    def request_data(self, data: bytes) -> None:
        """Buffer a part of the body."""
        if self._is_over:
            return
        self._body.add(data)
        if self._body.is_full:
            self._refuse_unclaimed(
                RefusalKind.BODY_TOO_LARGE,
                "the body of a call with an idempotency key exceeds"
                f" {MAX_REPLAY_BYTES} bytes",
            )

    def request_ended(self) -> None:
        """Claim the key, now that the request is complete."""
        if self._is_over:
            return
        self._body.is_whole = True
        if self._quota_wait is None:
            self._node.spawn(self._claim())

    def response_started(self, head: ResponseHead) -> None:
        """Forward the response head and keep it for the claim."""
        self._response_head = head
        super().response_started(head)

    def response_data(self, data: bytes) -> None:
        """Forward a part, and keep it while the response is short."""
        self._response_bytes += len(data)
        if self._response_bytes <= MAX_ANSWER_BYTES:
            self._response_parts.append(data)
        else:
            self._response_parts.clear()
        super().response_data(data)

    def response_ended(self) -> None:
        """Forward the end of the response."""
        self._is_response_whole = True
        super().response_ended()

    async def _claim(self) -> None:
        outcome = await self._claims.claim(
            self._key, self._compute_fingerprint(), self._node.next_call_id()
        )
        match decide_claim(outcome):
            case RunClaimed(claim_id):
                self._claim_id = claim_id
                self._run_claimed()
            case _ if self._is_over:
                return
            case ReplayAnswer(answer):
                self._replay(answer)
            case RefuseClaim(refusal):
                self._refuse(refusal)

    def _run_claimed(self) -> None:
        if self._is_over:
            self._settle_claim()
        elif not self._can_end():
            self._refuse_unclaimed(
                RefusalKind.DRAINING,
                "this node stops before the call can end",
            )
        else:
            self._start_attempt()

    def _compute_fingerprint(self) -> bytes:
        body = b"".join(self._body.parts)
        head = self._head
        return fingerprint_call(
            self._state.route.name.encode(),
            head.method,
            head.target,
            blake2b(body, digest_size=FINGERPRINT_BYTES).digest(),
        )

    def _replay(self, answer: StoredAnswer) -> None:
        body = answer.body or b""
        lines = b"".join(
            b"%b: %b\r\n" % (header.name, header.value)
            for header in answer.headers
        )
        self._downstream.write(
            b"%b%b%bcontent-length: %d\r\n%b: %b\r\n%b\r\n%b"
            % (
                encode_status(answer.status),
                lines,
                self._state.response_field_lines,
                len(body),
                names.REQUEST_ID,
                self._request_id,
                CLOSE_LINE if self._downstream.is_last_response() else b"",
                body,
            )
        )
        self._state.counters.replayed += 1
        self._finish()
        self._downstream.end_call()

    def _refuse_unclaimed(self, kind: RefusalKind, detail: str) -> None:
        self._refuse_unwritten(kind, UnwrittenStage.CLAIMING, detail)

    def _finish(self) -> None:
        super()._finish()
        if self._claim_id is not None:
            self._settle_claim()

    def _settle_claim(self) -> None:
        claim_id = self._claim_id
        if claim_id is None:
            return
        command = settle_claim(self._key, claim_id, self._claim_end())
        self._node.spawn(self._claims.settle(command))

    def _claim_end(self) -> ClaimEnd:
        if self._is_response_whole and self._response_head is not None:
            return self._make_answer_end(self._response_head)
        if self._may_have_run:
            return UnknownEnd()
        failure = self._failure
        if failure is not None and failure.refusal.proof is not None:
            return NotRunEnd(failure.refusal.proof)
        return NotRunEnd(NeverWritten(UnwrittenStage.CLAIMING))

    def _make_answer_end(self, head: ResponseHead) -> AnswerEnd:
        headers = (
            AnswerHeader(*line.split(b": ", 1))
            for line in head.fields.split(b"\r\n")
            if line
        )
        is_kept = self._response_bytes <= MAX_ANSWER_BYTES
        body = b"".join(self._response_parts) if is_kept else None
        return AnswerEnd(head.status, tuple(headers), body)

"""A call that this node routes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls import http_names as names
from rhubarbhollow_calls.call_kind import CallKind
from rhubarbhollow_calls.call_result import CallResult
from rhubarbhollow_calls.deadline import Deadline, format_deadline
from rhubarbhollow_calls.http_hop import Hop, encode_hop
from rhubarbhollow_calls.io_attempt import AttemptFailure
from rhubarbhollow_calls.io_exchange import Exchange
from rhubarbhollow_calls.io_fingerprint import fingerprint_request
from rhubarbhollow_calls.io_local_attempt import LocalAttempt
from rhubarbhollow_calls.io_remote_attempt import RemoteAttempt
from rhubarbhollow_calls.not_run_proof import UnwrittenStage
from rhubarbhollow_calls.refusal import Executed, Refusal, RefusalKind
from rhubarbhollow_calls.retry_decision import (
    AttemptView,
    Retry,
    decide_retry,
)

if TYPE_CHECKING:
    from rhubarbhollow_calls.backlog import Backlog
    from rhubarbhollow_calls.endpoint import Endpoint
    from rhubarbhollow_calls.http_answer_head import AnswerHead
    from rhubarbhollow_calls.http_request_head import RequestHead
    from rhubarbhollow_calls.io_attempt import Attempt
    from rhubarbhollow_calls.io_listener import ListenerConnection
    from rhubarbhollow_calls.io_node import CallNode
    from rhubarbhollow_calls.io_route_state import RouteState

PEER_GRACE_SECONDS: Final = 0.03
CUT_ANSWER_DELAY_SECONDS: Final = 0.1
MS_PER_SECOND: Final = 1000
_ERROR_STATUS: Final = 500
# failures that another upstream may not have
_FAILED_STATUSES: Final = frozenset((500, 502, 503))
# share of the objective that has to be left for another attempt
EARLY_SHARE: Final = 0.5
# refusals of a node: the upstream beside it has not seen the request
_UNOFFERED_KINDS: Final = frozenset(
    (
        RefusalKind.NO_UPSTREAM,
        RefusalKind.QUEUE_FULL,
        RefusalKind.DRAINING,
        RefusalKind.STALE_POSITION,
    )
)


class CallerExchange(Exchange):
    """Choose an upstream for a call, and another if that is safe.

    The call ends on the route of the release on which it began, however
    many attempts it takes.
    """

    __slots__ = (
        "_attempt_started_at",
        "_attempts_made",
        "_began_at",
        "_cut_attempts",
        "_endpoint",
        "_failure",
        "_service",
        "_state",
        "_tried",
        "_unoffered",
    )

    def __init__(
        self,
        node: CallNode,
        downstream: ListenerConnection,
        head: RequestHead,
        request_id: bytes,
        deadline: Deadline,
        state: RouteState,
        now: float,
    ) -> None:
        super().__init__(node, downstream, head, request_id, deadline)
        self._state = state
        self._began_at = now
        self._attempt_started_at = now
        self._attempts_made = 0
        self._cut_attempts = 0
        self._unoffered = 0
        self._service = state.services.next()
        self._endpoint: Endpoint | None = None
        self._tried: frozenset[str] = frozenset()
        self._failure: AttemptFailure | None = None

    @property
    def _upstream(self) -> str:
        return "" if self._endpoint is None else self._endpoint.name

    def start(self) -> None:
        """Make the first attempt."""
        self._state.budget.record_call()
        self._try()

    def node_lines(self) -> bytes:
        """Return the fields for the node beside the upstream."""
        left = format_deadline(self._deadline, self._node.clock.monotonic())
        objective_ms = self._objective_left_ms()
        if self._node.dialect.is_foreign:
            return self._encode_hop(int(left), objective_ms)
        lines = b"%b%b: %b\r\n%b: %d\r\n%b: %b\r\n%b: %b\r\n" % (
            self._state.request_lines,
            names.TIMEOUT_MS,
            left,
            names.DEPTH,
            self._head.mesh.depth + 1,
            names.UPSTREAM,
            self._upstream.encode(),
            names.REQUEST_ID,
            self._request_id,
        )
        if objective_ms is None:
            return lines
        return lines + b"%b: %d\r\n" % (names.OBJECTIVE_MS, objective_ms)

    def _encode_hop(self, left_ms: int, objective_ms: int | None) -> bytes:
        endpoint = self._endpoint
        instance = b"" if endpoint is None else endpoint.instance.encode()
        hop = Hop(
            self._state.position,
            left_ms,
            self._head.mesh.depth + 1,
            objective_ms,
            self._state.route.name.encode(),
            instance,
            self._node.origin,
        )
        # the caller's own field with the request's id goes on
        return b"%b: %b\r\n" % (names.HOP, encode_hop(hop))

    def _try(self) -> None:
        endpoint = self._choose()
        if endpoint is None:
            self._give_up()
            return
        self._endpoint = endpoint
        self._attempt_started_at = self._node.clock.monotonic()
        route = self._state.route
        self._node.book.started(endpoint.name, route.name, route.priority)
        self._begin(self._make_attempt(endpoint))

    def _choose(self) -> Endpoint | None:
        book = self._node.book
        route = self._state.route
        self._tell_own_backlog()
        endpoint = book.choose(self._service, self._tried, self._kind())
        if endpoint is not None or self._tried:
            return endpoint
        chosen = (
            book.choose(service, self._tried) for service in route.fallbacks
        )
        return next((one for one in chosen if one is not None), None)

    def _kind(self) -> CallKind | None:
        """Return what the choice of an upstream goes by, if known."""
        route = self._state.route
        if route.latency_seconds is None:
            return None
        now = self._node.clock.monotonic()
        left = self._began_at + route.latency_seconds - now
        return CallKind(
            route.name,
            route.latency_seconds,
            max(0.0, left),
            route.priority,
        )

    def _objective_left_ms(self) -> int | None:
        kind = self._kind()
        return (
            None if kind is None else round(kind.left_seconds * MS_PER_SECOND)
        )

    def _tell_own_backlog(self) -> None:
        """Let the choice see the queue that is here to be looked at."""
        port = self._node.local_port
        if port is not None:
            self._node.book.report_backlog(
                port.upstream.name, port.gate.backlog
            )

    def _make_attempt(self, endpoint: Endpoint) -> Attempt:
        node = self._node
        port = node.local_port
        if port is None or port.upstream.name != endpoint.name:
            pool = node.peer_pool(endpoint.peer_host, endpoint.peer_port)
            # The node beside knows whether a call that ran out of time
            # was run, and is given the time to say so.
            self.expires_at = self._deadline.expires_at + PEER_GRACE_SECONDS
            return RemoteAttempt(self, self._head, self._body, endpoint, pool)
        route = self._state.route
        ticket = node.make_ticket(
            route.priority,
            self._deadline,
            self._state,
            self._objective_left_ms(),
        )
        name = route.name.encode()
        return LocalAttempt(self, self._head, self._body, port, ticket, name)

    def answer_started(self, head: AnswerHead) -> None:
        """Take an answer, unless it is one to make another attempt for.

        An upstream that fails some of its requests looks healthy, so an
        early failure of an idempotent request is tried elsewhere.
        """
        if not self._is_worth_another(head):
            super().answer_started(head)
            return
        failure = AttemptFailure(
            Refusal.unknown(
                RefusalKind.OUTCOME_UNKNOWN, f"status {head.status}"
            ),
            CallResult.UPSTREAM_ERROR,
            None if head.slots is None else head.slots.backlog,
        )
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.cancel()
        self.attempt_failed(failure)

    def _is_worth_another(self, head: AnswerHead) -> bool:
        kind = self._kind()
        if head.status not in _FAILED_STATUSES or kind is None:
            return False
        if not self._state.route.is_idempotent or not self._body.is_whole:
            return False
        if not self._body.is_kept or self._attempts_made > 0:
            return False
        # a slow failure is that of something the upstream waited for
        is_early = kind.left_seconds > EARLY_SHARE * kind.objective_seconds
        attempts = self._state.route.attempts
        return is_early and attempts > 1 and self._state.budget.balance >= 1

    def _follow_up(self, failure: AttemptFailure) -> None:
        self._failure = failure
        is_offered = failure.refusal.kind not in _UNOFFERED_KINDS
        if is_offered:
            self._attempts_made += 1
        else:
            self._unoffered += 1
        if failure.result is CallResult.BROKEN:
            self._note_cut()
        if failure.refusal.kind is RefusalKind.QUARANTINED:
            self._refuse(failure.refusal)
            return
        decision = decide_retry(self._view(failure, is_offered=is_offered))
        self._node.observer.attempt_failed(
            self._state, self._upstream, self._request_id, failure, decision
        )
        match decision:
            case Retry(excluded):
                self._tried = excluded
                self._state.counters.retries += 1
                self._try()
            case _ if failure.result is CallResult.BROKEN:
                # A caller that sends a crashing request again at once
                # has to find nodes that have heard of the crash.
                asyncio.get_running_loop().call_later(
                    CUT_ANSWER_DELAY_SECONDS,
                    self._refuse_unless_over,
                    failure.refusal,
                )
            case _:
                self._refuse(failure.refusal)

    def _note_cut(self) -> None:
        """Count a cut, twice if the request is suspected of another.

        A retry goes out before other nodes can have heard of this cut.
        """
        self._cut_attempts += 1
        route = self._state.route.name.encode()
        fingerprint = fingerprint_request(route, self._head, self._body)
        if self._node.is_suspected(fingerprint):
            self._cut_attempts += 1

    def _refuse_unless_over(self, refusal: Refusal) -> None:
        if not self._is_over:
            self._refuse(refusal)

    def _view(
        self, failure: AttemptFailure, *, is_offered: bool
    ) -> AttemptView:
        route = self._state.route
        endpoint = self._endpoint
        tried = self._tried
        if endpoint is not None:
            tried = tried | {endpoint.name}
        now = self._node.clock.monotonic()
        return AttemptView(
            executed=failure.refusal.executed,
            is_idempotent=route.is_idempotent,
            is_answer=False,
            is_answer_started=False,
            is_from_deeper=False,
            is_body_kept=self._body.is_kept,
            is_cancelled=False,
            tried=tried,
            attempts_made=self._attempts_made,
            attempts_allowed=route.attempts,
            remaining_ms=self._deadline.remaining_ms(now),
            budget=self._state.budget,
            cut_attempts=self._cut_attempts,
            is_offered=is_offered,
            unoffered=self._unoffered,
        )

    def _give_up(self) -> None:
        if self._failure is not None:
            self._refuse(self._failure.refusal)
            return
        self._refuse_unwritten(
            RefusalKind.NO_UPSTREAM,
            UnwrittenStage.ROUTING,
            f"no upstream of {self._service}",
        )

    def _answer_lines(self, head: AnswerHead) -> bytes:
        self._node.hear_position(head.position)
        if head.slots is not None:
            self._hear_backlog(head.slots.backlog)
            self._held_seconds = head.slots.held_seconds
        endpoint = self._endpoint
        return b"%b%b: %b\r\n%b: %b\r\n" % (
            self._state.answer_lines,
            names.UPSTREAM,
            b"" if endpoint is None else endpoint.name.encode(),
            names.REQUEST_ID,
            self._request_id,
        )

    def _refusal_lines(self) -> bytes:
        return self._state.answer_lines

    def _settle_answer(self) -> None:
        now = self._node.clock.monotonic()
        is_error = self._status >= _ERROR_STATUS
        result = CallResult.UPSTREAM_ERROR if is_error else CallResult.ANSWERED
        self._settle(result, now)
        seconds = now - self._began_at
        self._state.counters.count_answer(is_error, seconds)
        self._node.observer.call_answered(
            self._state, self._upstream, seconds, is_error=is_error
        )

    def _hear_backlog(self, backlog: Backlog | None) -> None:
        if self._endpoint is not None and backlog is not None:
            self._node.book.report_backlog(self._endpoint.name, backlog)

    def _settle_failure(self, failure: AttemptFailure) -> None:
        self._hear_backlog(failure.backlog)
        self._settle(failure.result, self._node.clock.monotonic())

    def _settle_cancelled(self) -> None:
        self._settle(CallResult.CANCELLED, self._node.clock.monotonic())

    def _settle(self, result: CallResult, now: float) -> None:
        if self._endpoint is not None:
            self._node.book.finished(
                self._endpoint.name,
                result,
                now - self._attempt_started_at,
                self._state.route.name,
                self._held_seconds,
            )

    def _count_refusal(self, refusal: Refusal) -> None:
        if refusal.executed is Executed.NO:
            self._state.counters.refused_not_run += 1
        else:
            self._state.counters.refused_unknown += 1
        self._node.observer.call_refused(
            self._state,
            self._upstream,
            self._request_id,
            refusal,
            self._attempts_made,
        )

    def _count_cancelled(self) -> None:
        self._state.counters.cancelled += 1

    def _count_aborted(self) -> None:
        self._state.counters.aborted += 1
        self._node.observer.call_aborted(self._state, self._upstream)

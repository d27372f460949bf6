"""The exchange for a call that this node routes."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls import http_names as names
from rhubarbhollow_calls.call_profile import CallProfile
from rhubarbhollow_calls.call_result import CallResult
from rhubarbhollow_calls.http_hop import Hop, encode_hop
from rhubarbhollow_calls.io_attempt import AttemptFailure
from rhubarbhollow_calls.io_exchange import Exchange
from rhubarbhollow_calls.io_fingerprint import fingerprint_request
from rhubarbhollow_calls.io_local_attempt import LocalAttempt
from rhubarbhollow_calls.io_quota import refusal_of
from rhubarbhollow_calls.io_remote_attempt import RemoteAttempt
from rhubarbhollow_calls.not_run_proof import UnwrittenStage
from rhubarbhollow_calls.refusal import Executed, Refusal, RefusalKind
from rhubarbhollow_calls.retry_decision import (
    AttemptView,
    Retry,
    decide_retry,
)
from rhubarbhollow_quota.verdict import Admitted

if TYPE_CHECKING:
    from rhubarbhollow_calls.backlog import Backlog
    from rhubarbhollow_calls.deadline import Deadline
    from rhubarbhollow_calls.endpoint import Endpoint
    from rhubarbhollow_calls.http_request_head import RequestHead
    from rhubarbhollow_calls.http_response_head import ResponseHead
    from rhubarbhollow_calls.io_attempt import Attempt
    from rhubarbhollow_calls.io_downstream import Downstream
    from rhubarbhollow_calls.io_node import CallNode
    from rhubarbhollow_calls.io_quota import QuotaWait
    from rhubarbhollow_calls.io_route_state import RouteState
    from rhubarbhollow_quota.verdict import Verdict
    from rhubarbhollow_tenants.identity import Identity

# Time past the deadline in which the upstream's node can still report
# whether a call that timed out was run.
PEER_GRACE_SECONDS: Final = 0.03
# Delay of the refusal after a broken connection, in which the report of
# a possible crash reaches the other nodes.
BROKEN_REFUSAL_DELAY_SECONDS: Final = 0.1
MS_PER_SECOND: Final = 1000
_ERROR_STATUS: Final = 500
# 5xx statuses after which another upstream may succeed.
_FAILED_STATUSES: Final = frozenset((500, 502, 503))
# Share of the latency objective that must remain for a retry.
EARLY_FAILURE_SHARE: Final = 0.5
# Kinds of refusal, sent before an upstream has seen the request, that
# use no attempt of the route. Other early refusals, such as
# SUSPECT_HELD and UNREACHABLE, count as attempts.
_UNOFFERED_REFUSALS: Final = frozenset(
    (
        RefusalKind.NO_UPSTREAM,
        RefusalKind.QUEUE_FULL,
        RefusalKind.DRAINING,
        RefusalKind.STALE_POSITION,
    )
)


class CallerExchange(Exchange):
    """Choose an upstream for a call, and retry when that is safe.

    All attempts use the route of the release that was in force when
    the call began.
    """

    __slots__ = (
        "_attempt_started_at",
        "_attempts_made",
        "_began_at",
        "_cut_attempts",
        "_endpoint",
        "_failure",
        "_quota_retry_seconds",
        "_quota_wait",
        "_service",
        "_state",
        "_tried",
        "_unoffered_attempts",
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
        identity: Identity | None = None,
    ) -> None:
        super().__init__(
            node, downstream, head, request_id, deadline, identity
        )
        self._state = state
        self._began_at = now
        self._attempt_started_at = now
        self._attempts_made = 0
        self._cut_attempts = 0
        self._unoffered_attempts = 0
        self._service = state.services.next()
        self._endpoint: Endpoint | None = None
        self._tried: frozenset[str] = frozenset()
        self._failure: AttemptFailure | None = None
        self._quota_wait: QuotaWait | None = None
        self._quota_retry_seconds: float | None = None

    @property
    def _upstream(self) -> str:
        return "" if self._endpoint is None else self._endpoint.name

    def start(self) -> None:
        """Start the first attempt."""
        self._state.budget.record_call()
        if self._quota_wait is None:
            self._start_attempt()
        else:
            self._quota_wait.begin(self)

    def await_quota(self, wait: QuotaWait) -> None:
        """Wait for the tenant's quota before the first attempt."""
        self._quota_wait = wait

    def quota_decided(self, verdict: Verdict) -> None:
        """Start the call that has waited, or refuse it."""
        self._quota_wait = None
        if isinstance(verdict, Admitted):
            self._start_admitted()
            return
        kind, detail, self._quota_retry_seconds = refusal_of(verdict)
        self._refuse_unwritten(kind, UnwrittenStage.ROUTING, detail)

    def _start_admitted(self) -> None:
        self._start_attempt()

    def _retry_after(self, refusal: Refusal) -> float | None:
        if self._quota_retry_seconds is None:
            return super()._retry_after(refusal)
        return self._node.round_retry_after(self._quota_retry_seconds)

    def _finish(self) -> None:
        super()._finish()
        if self._quota_wait is not None:
            self._quota_wait.cancel()
            self._quota_wait = None

    def next_hop_field_lines(self) -> bytes:
        """Return the header field lines for the upstream's node."""
        if self._node.dialect.is_foreign:
            return self._encode_hop()
        lines = self._native_field_lines()
        identity = self._identity
        if identity is None:
            return lines
        return lines + b"%b: %b\r\n%b: %b\r\n" % (
            names.TENANT,
            identity.name,
            names.KEY_FINGERPRINT,
            identity.fingerprint,
        )

    def _native_field_lines(self) -> bytes:
        left = self._node.format_time_left(self._deadline)
        objective_ms = self._objective_left_ms()
        lines = b"%b%b: %b\r\n%b: %d\r\n%b: %b\r\n%b: %b\r\n" % (
            self._state.request_field_lines,
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

    def _encode_hop(self) -> bytes:
        left_ms = int(self._node.format_time_left(self._deadline))
        objective_ms = self._objective_left_ms()
        identity = self._identity
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
            b"" if identity is None else identity.name,
            b"" if identity is None else identity.fingerprint,
        )
        # The request id is forwarded in the caller's own field.
        return b"%b: %b\r\n" % (names.HOP, encode_hop(hop))

    def _start_attempt(self) -> None:
        endpoint = self._choose_endpoint()
        if endpoint is None:
            self._give_up()
            return
        self._endpoint = endpoint
        self._attempt_started_at = self._node.clock.monotonic()
        route = self._state.route
        self._node.selector.started(endpoint.name, route.name, route.priority)
        self._begin(self._make_attempt(endpoint))

    def _choose_endpoint(self) -> Endpoint | None:
        selector = self._node.selector
        route = self._state.route
        self._report_local_backlog()
        endpoint = selector.choose(
            self._service, self._tried, self._call_profile()
        )
        if endpoint is not None or self._tried:
            return endpoint
        chosen = (
            selector.choose(service, self._tried)
            for service in route.fallbacks
        )
        return next((one for one in chosen if one is not None), None)

    def _call_profile(self) -> CallProfile | None:
        """Return the criteria for endpoint choice.

        ``None`` if the route has no latency objective.
        """
        route = self._state.route
        if route.latency_seconds is None:
            return None
        now = self._node.clock.monotonic()
        left = self._began_at + route.latency_seconds - now
        return CallProfile(
            route.name,
            route.latency_seconds,
            max(0.0, left),
            route.priority,
        )

    def _objective_left_ms(self) -> int | None:
        profile = self._call_profile()
        return (
            None
            if profile is None
            else round(profile.remaining_seconds * MS_PER_SECOND)
        )

    def _report_local_backlog(self) -> None:
        """Report the current backlog of the local upstream."""
        port = self._node.local_port
        if port is None:
            return
        selector = self._node.selector
        if port.speed.is_known:
            selector.report_loads((port.load(),), port.speed.observed_at)
        else:
            selector.report_backlog(port.upstream.name, port.gate.backlog)

    def _make_attempt(self, endpoint: Endpoint) -> Attempt:
        node = self._node
        port = node.local_port
        if port is None or port.upstream.name != endpoint.name:
            pool = node.peer_pool(endpoint.peer_host, endpoint.peer_port)
            # The upstream's node knows whether a call that timed out
            # was run, so it gets the grace time to report that.
            self.expires_at = self._deadline.expires_at + PEER_GRACE_SECONDS
            return RemoteAttempt(self, self._head, self._body, endpoint, pool)
        route = self._state.route
        name = route.name.encode()
        depth = self._head.mesh.depth
        ticket = node.make_ticket(
            route.priority,
            self._deadline,
            self._state,
            self._objective_left_ms(),
            self._tenant(),
            is_nested=port.is_nested(name, self._origin(), depth),
        )
        return LocalAttempt(self, self._head, self._body, port, ticket, name)

    def response_started(self, head: ResponseHead) -> None:
        """Forward the response head, or retry an early 5xx response.

        An upstream that fails only some of its requests still looks
        healthy, so an idempotent request that fails early is sent to
        another one.
        """
        if not self._is_retryable_response(head):
            super().response_started(head)
            return
        failure = AttemptFailure(
            Refusal.unknown(
                RefusalKind.OUTCOME_UNKNOWN, f"upstream status {head.status}"
            ),
            CallResult.UPSTREAM_ERROR,
            None if head.slots is None else head.slots.backlog,
        )
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.cancel()
        self.attempt_failed(failure)

    def _is_retryable_response(self, head: ResponseHead) -> bool:
        profile = self._call_profile()
        if head.status not in _FAILED_STATUSES or profile is None:
            return False
        if not self._state.route.is_idempotent or not self._body.is_whole:
            return False
        if not self._body.is_kept or self._attempts_made > 0:
            return False
        # A slow failure usually comes from a dependency that the
        # upstream waited for, so another upstream would fail as well.
        is_early = (
            profile.remaining_seconds
            > EARLY_FAILURE_SHARE * profile.objective_seconds
        )
        attempts = self._state.route.attempts
        return is_early and attempts > 1 and self._state.budget.balance >= 1

    def _handle_failure(self, failure: AttemptFailure) -> None:
        self._failure = failure
        is_offered = failure.refusal.kind not in _UNOFFERED_REFUSALS
        if is_offered:
            self._attempts_made += 1
        else:
            self._unoffered_attempts += 1
        if failure.result is CallResult.BROKEN:
            self._count_broken_attempt()
        if failure.refusal.kind is RefusalKind.QUARANTINED:
            self._refuse(failure.refusal)
            return
        if failure.refusal.kind is RefusalKind.KEY_WITHDRAWN:
            self._node.observe_peer_position(failure.position)
            self._refuse_withdrawn(failure.refusal)
            return
        decision = decide_retry(
            self._make_attempt_view(failure, is_offered=is_offered)
        )
        self._node.observer.attempt_failed(
            self._state, self._upstream, self._request_id, failure, decision
        )
        match decision:
            case Retry(excluded):
                self._tried = excluded
                self._state.counters.retries += 1
                self._start_attempt()
            case _ if failure.result is CallResult.BROKEN:
                # A caller may resend a request that crashed its
                # upstream at once; the delay lets the crash report
                # reach the other nodes first.
                asyncio.get_running_loop().call_later(
                    BROKEN_REFUSAL_DELAY_SECONDS,
                    self._refuse_unless_over,
                    failure.refusal,
                )
            case _:
                self._refuse(failure.refusal)

    def _refuse_withdrawn(self, refusal: Refusal) -> None:
        """Refuse a call whose key a later release no longer holds.

        If this node has that release, the caller's key is not valid.
        Otherwise this node is behind, and the caller may come back.
        """
        node = self._node
        if not self.is_key_held() and node.is_release_current():
            refusal = replace(refusal, kind=RefusalKind.KEY_UNKNOWN)
        node.counters.keys_refused[refusal.kind] += 1
        if self._identity is not None:
            node.counters.count_withdrawn(self._identity.name.decode())
        self._refuse(refusal)

    def _count_broken_attempt(self) -> None:
        """Count a broken connection, twice for a suspected request.

        A suspected request has been in flight during an upstream crash
        of which it is not cleared. It counts twice because a retry
        would start before other nodes can have received a report of
        this break.
        """
        self._cut_attempts += 1
        route = self._state.route.name.encode()
        fingerprint = fingerprint_request(route, self._head, self._body)
        if self._node.is_suspected(fingerprint):
            self._cut_attempts += 1

    def _refuse_unless_over(self, refusal: Refusal) -> None:
        if not self._is_over:
            self._refuse(refusal)

    def _make_attempt_view(
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
            is_response_complete=False,
            is_response_started=False,
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
            unoffered_attempts=self._unoffered_attempts,
            can_end_before_stop=self._can_end(),
        )

    def _can_end(self) -> bool:
        """Return whether an attempt made now can end in time."""
        objective = self._state.route.latency_seconds
        return self._node.can_end(self._deadline, objective)

    def _give_up(self) -> None:
        if self._failure is not None:
            self._refuse(self._failure.refusal)
            return
        self._refuse_unwritten(
            RefusalKind.NO_UPSTREAM,
            UnwrittenStage.ROUTING,
            f"no upstream of service {self._service} is available",
        )

    def _response_field_lines(self, head: ResponseHead) -> bytes:
        self._node.observe_peer_position(head.position)
        if head.slots is not None:
            self._report_endpoint_backlog(head.slots.backlog)
            self._node.selector.report_speed(
                self._upstream, head.slots.work_percent
            )
            self._slot_held_seconds = head.slots.held_seconds
        endpoint = self._endpoint
        return b"%b%b: %b\r\n%b: %b\r\n" % (
            self._state.response_field_lines,
            names.UPSTREAM,
            b"" if endpoint is None else endpoint.name.encode(),
            names.REQUEST_ID,
            self._request_id,
        )

    def _refusal_field_lines(self) -> bytes:
        return self._state.response_field_lines

    def _objective_seconds(self) -> float | None:
        return self._state.route.latency_seconds

    def _record_response(self) -> None:
        now = self._node.clock.monotonic()
        is_error = self._status >= _ERROR_STATUS
        result = CallResult.UPSTREAM_ERROR if is_error else CallResult.ANSWERED
        self._record_result(result, now)
        seconds = now - self._began_at
        self._state.counters.count_answer(is_error, seconds)
        self._node.observer.call_answered(
            self._state, self._upstream, seconds, is_error=is_error
        )

    def _report_endpoint_backlog(self, backlog: Backlog | None) -> None:
        if self._endpoint is not None and backlog is not None:
            self._node.selector.report_backlog(self._endpoint.name, backlog)

    def _record_failure(self, failure: AttemptFailure) -> None:
        self._report_endpoint_backlog(failure.backlog)
        self._record_result(failure.result, self._node.clock.monotonic())

    def _record_cancelled(self) -> None:
        self._record_result(CallResult.CANCELLED, self._node.clock.monotonic())

    def _record_result(self, result: CallResult, now: float) -> None:
        if self._endpoint is not None:
            self._node.selector.finished(
                self._endpoint.name,
                result,
                now - self._attempt_started_at,
                self._state.route.name,
                self._slot_held_seconds,
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

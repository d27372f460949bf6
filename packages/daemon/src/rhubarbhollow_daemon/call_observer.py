"""Recording of the outcomes of calls that a node handled."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.backlog import encode_backlog
from rhubarbhollow_calls.refusal import RefusalKind
from rhubarbhollow_calls.retry_decision import GiveUp, Retry
from rhubarbhollow_daemon.burn_recorder import BurnKey
from rhubarbhollow_daemon.refused_call_log import RefusedCall

if TYPE_CHECKING:
    from rhubarbhollow_calls.backlog import Backlog
    from rhubarbhollow_calls.io_attempt import AttemptFailure
    from rhubarbhollow_calls.io_route_state import RouteState
    from rhubarbhollow_calls.refusal import Refusal
    from rhubarbhollow_calls.retry_decision import RetryDecision
    from rhubarbhollow_daemon.burn_recorder import BurnRecorder
    from rhubarbhollow_daemon.decision_log import DecisionLog
    from rhubarbhollow_daemon.refused_call_log import RefusedCallLog
    from rhubarbhollow_wire.clock import Clock

# Refusals that the caller itself caused: they use up no error budget.
CALLER_FAULTS: Final = frozenset(
    {
        RefusalKind.BAD_REQUEST,
        RefusalKind.BODY_TOO_LARGE,
        RefusalKind.HEADERS_TOO_LARGE,
        RefusalKind.KEY_CONFLICT,
        RefusalKind.KEY_UNKNOWN,
        RefusalKind.QUOTA_EXCEEDED,
    }
)


class NodeCallObserver:
    """Count calls for the burn report; log and keep refusals."""

    def __init__(
        self,
        burn: BurnRecorder,
        log: RefusedCallLog,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self._decisions = decisions
        self._burn = burn
        self._log = log
        self._clock = clock

    def call_answered(
        self,
        state: RouteState,
        upstream: str,
        seconds: float,
        *,
        is_error: bool,
    ) -> None:
        """Count a complete answer."""
        key = _burn_key(state, upstream)
        self._burn.count_answer(key, seconds, is_error=is_error)

    def call_refused(
        self,
        state: RouteState,
        upstream: str,
        request_id: bytes,
        refusal: Refusal,
        attempts: int,
    ) -> None:
        """Log a refusal and count it as a failure.

        Refusals in ``CALLER_FAULTS`` are not counted: they use up no
        error budget.
        """
        if refusal.kind not in CALLER_FAULTS:
            self._burn.count_failure(_burn_key(state, upstream))
        self._record_refusal(
            "call_refused",
            request_id,
            RefusedCall(
                at=self._now(),
                route=state.route.name,
                position=state.position,
                upstream=upstream,
                attempts=attempts,
                kind=refusal.kind.value,
                executed=refusal.executed.value,
                detail=refusal.detail,
            ),
        )

    def call_not_begun(
        self, request_id: bytes, refusal: Refusal, position: int
    ) -> None:
        """Log a call that was refused before a route was chosen.

        It is not counted, since it belongs to no route.
        """
        self._record_refusal(
            "call_not_begun",
            request_id,
            RefusedCall(
                at=self._now(),
                route="",
                position=position,
                upstream="",
                attempts=0,
                kind=refusal.kind.value,
                executed=refusal.executed.value,
                detail=refusal.detail,
            ),
        )

    def attempt_failed(
        self,
        state: RouteState,
        upstream: str,
        request_id: bytes,
        failure: AttemptFailure,
        decision: RetryDecision,
    ) -> None:
        """Log a failed attempt and the retry decision that follows."""
        self._decisions.write(
            "attempt_failed",
            request_id=request_id.decode("latin-1"),
            route=state.route.name,
            position=state.position,
            upstream=upstream,
            refusal=failure.refusal.kind.value,
            executed=failure.refusal.executed.value,
            detail=failure.refusal.detail,
            backlog_ms=_format_backlog(failure.backlog),
            decision=_format_decision(decision),
        )

    def call_aborted(self, state: RouteState, upstream: str) -> None:
        """Count a call whose answer was cut short as failed."""
        self._burn.count_failure(_burn_key(state, upstream))

    def _now(self) -> str:
        return self._clock.utc().isoformat(timespec="milliseconds")

    def _record_refusal(
        self, event: str, request_id: bytes, call: RefusedCall
    ) -> None:
        self._decisions.write(
            event,
            request_id=request_id.decode("latin-1"),
            route=call.route,
            position=call.position,
            upstream=call.upstream,
            attempts=call.attempts,
            refusal=call.kind,
            executed=call.executed,
            detail=call.detail,
        )
        self._log.add(request_id, call)


def _format_decision(decision: RetryDecision) -> str:
    match decision:
        case GiveUp(reason):
            return f"give_up:{reason.value}"
        case Retry():
            return "retry"


def _format_backlog(backlog: Backlog | None) -> str | None:
    return None if backlog is None else encode_backlog(backlog).decode()


def _burn_key(state: RouteState, upstream: str) -> BurnKey:
    route = state.route
    return BurnKey(route.service, route.name, upstream, state.position)

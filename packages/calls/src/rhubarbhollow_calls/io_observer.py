"""The interface for observers of calls that a node routes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from rhubarbhollow_calls.io_attempt import AttemptFailure
    from rhubarbhollow_calls.io_route_state import RouteState
    from rhubarbhollow_calls.refusal import Refusal
    from rhubarbhollow_calls.retry_decision import RetryDecision


class CallObserver(Protocol):
    """Receive the outcome of each call, and each failed attempt.

    A call has one outcome at most.  The methods run on the path of the
    call and must be short.
    """

    def call_answered(
        self,
        state: RouteState,
        upstream: str,
        seconds: float,
        *,
        is_error: bool,
    ) -> None:
        """Handle a complete response; ``is_error`` means status 5xx."""
        ...

    def call_refused(
        self,
        state: RouteState,
        upstream: str,
        request_id: bytes,
        refusal: Refusal,
        attempts: int,
    ) -> None:
        """Handle a refusal; ``upstream`` may be empty."""
        ...

    def call_not_begun(
        self, request_id: bytes, refusal: Refusal, position: int
    ) -> None:
        """Handle a refusal that is not attributed to a route."""
        ...

    def attempt_failed(
        self,
        state: RouteState,
        upstream: str,
        request_id: bytes,
        failure: AttemptFailure,
        decision: RetryDecision,
    ) -> None:
        """Handle a failed attempt and the retry decision on it."""
        ...

    def call_aborted(self, state: RouteState, upstream: str) -> None:
        """Handle a truncated response."""
        ...


class SilentObserver:
    """Ignore all events."""

    def call_answered(
        self,
        state: RouteState,
        upstream: str,
        seconds: float,
        *,
        is_error: bool,
    ) -> None:
        """Do nothing."""

    def call_refused(
        self,
        state: RouteState,
        upstream: str,
        request_id: bytes,
        refusal: Refusal,
        attempts: int,
    ) -> None:
        """Do nothing."""

    def call_not_begun(
        self, request_id: bytes, refusal: Refusal, position: int
    ) -> None:
        """Do nothing."""

    def attempt_failed(
        self,
        state: RouteState,
        upstream: str,
        request_id: bytes,
        failure: AttemptFailure,
        decision: RetryDecision,
    ) -> None:
        """Do nothing."""

    def call_aborted(self, state: RouteState, upstream: str) -> None:
        """Do nothing."""

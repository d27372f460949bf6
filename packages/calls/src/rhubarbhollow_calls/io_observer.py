"""Hearing of the ends of calls that a node routes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from rhubarbhollow_calls.io_attempt import AttemptFailure
    from rhubarbhollow_calls.io_route_state import RouteState
    from rhubarbhollow_calls.refusal import Refusal
    from rhubarbhollow_calls.retry_decision import RetryDecision


class CallObserver(Protocol):
    """Count calls and remember refusals; called once a call at most.

    Its methods run on the path of the call and must be short.
    """

    def call_answered(
        self,
        state: RouteState,
        upstream: str,
        seconds: float,
        *,
        is_error: bool,
    ) -> None:
        """Hear of a whole answer; an error if its status is 5xx."""
        ...

    def call_refused(
        self,
        state: RouteState,
        upstream: str,
        request_id: bytes,
        refusal: Refusal,
        attempts: int,
    ) -> None:
        """Hear of a refusal; ``upstream`` may be empty."""
        ...

    def call_not_begun(
        self, request_id: bytes, refusal: Refusal, position: int
    ) -> None:
        """Hear of a refusal before a route was chosen."""
        ...

    def attempt_failed(
        self,
        state: RouteState,
        upstream: str,
        request_id: bytes,
        failure: AttemptFailure,
        decision: RetryDecision,
    ) -> None:
        """Hear of an attempt that failed, and what follows it."""
        ...

    def call_aborted(self, state: RouteState, upstream: str) -> None:
        """Hear of an answer that was cut short."""
        ...


class SilentObserver:
    """Count nothing."""

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

"""The decision whether a failed attempt is retried."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final, TypeAlias

from rhubarbhollow_calls.refusal import Executed

if TYPE_CHECKING:
    from rhubarbhollow_calls.retry_budget import RetryBudget

# Header of a response that states that the hop next to the failure has
# already decided about a retry.
RETRY_HEADER: Final = b"rhubarbhollow-retry"
RETRY_DECIDED: Final = b"decided"
# A request during which two upstreams broke may itself be the cause.
MAX_CUT_ATTEMPTS: Final = 2
# Number of attempts that were not offered to an upstream after which a
# call may still be retried.
MAX_UNOFFERED_ATTEMPTS: Final = 3


class GiveUpReason(Enum):
    """State why a failed attempt is not retried."""

    ANSWERED = "answered"
    CANCELLED = "cancelled"
    RESPONSE_STARTED = "answer_started"
    MAY_HAVE_RUN = "may_have_run"
    FROM_DEEPER = "from_deeper"
    BODY_NOT_KEPT = "body_not_kept"
    DEADLINE = "deadline"
    ATTEMPTS = "attempts"
    CUT_TWICE = "cut_twice"
    BUDGET = "budget"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class AttemptView:
    """Describe a failed attempt, for the decision to retry.

    ``tried`` contains the names of all upstreams tried so far,
    including the one that failed. ``is_response_complete`` means that
    the upstream sent a complete response with any status.
    ``is_from_deeper`` means that the failure carries the
    ``RETRY_HEADER`` of a later hop.
    ``cut_attempts`` counts the attempts with the result ``BROKEN``,
    twice if the request is suspected of an upstream crash.
    ``is_offered`` is false if the refusal is of a kind listed in
    ``_UNOFFERED_REFUSALS`` of ``io_caller_exchange``: a node refused
    the call before its upstream saw it. ``unoffered_attempts`` counts
    such attempts. They put no load on an upstream, so they use neither
    an attempt of the route nor a token, but have a limit of their own.
    ``can_end_before_stop`` is false while this node stops and a further
    attempt would be cut at the end of the process.
    """

    executed: Executed
    is_idempotent: bool
    is_response_complete: bool
    is_response_started: bool
    is_from_deeper: bool
    is_body_kept: bool
    is_cancelled: bool
    tried: frozenset[str]
    attempts_made: int
    attempts_allowed: int
    remaining_ms: int
    budget: RetryBudget
    cut_attempts: int = 0
    is_offered: bool = True
    unoffered_attempts: int = 0
    can_end_before_stop: bool = True


@dataclass(frozen=True, slots=True)
class Retry:
    """Send the call again, excluding the ``excluded`` upstreams."""

    excluded: frozenset[str]


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Pass the failure on to the caller."""

    reason: GiveUpReason


RetryDecision: TypeAlias = Retry | GiveUp


def decide_retry(attempt: AttemptView) -> RetryDecision:
    """Decide whether to retry a failed attempt.

    A retry takes one token from the budget, unless ``is_offered`` is
    false.
    """
    reason = _maybe_give_up_reason(attempt)
    if reason is not None:
        return GiveUp(reason)
    if not attempt.is_offered:
        return Retry(attempt.tried)
    # Checked last, so that a call that cannot be retried uses no token.
    if not attempt.budget.try_spend():
        return GiveUp(GiveUpReason.BUDGET)
    return Retry(attempt.tried)


def _maybe_give_up_reason(attempt: AttemptView) -> GiveUpReason | None:
    is_safe = attempt.is_idempotent or attempt.executed is Executed.NO
    checks = (
        (attempt.is_cancelled, GiveUpReason.CANCELLED),
        (attempt.is_response_complete, GiveUpReason.ANSWERED),
        (attempt.is_response_started, GiveUpReason.RESPONSE_STARTED),
        (attempt.is_from_deeper, GiveUpReason.FROM_DEEPER),
        (not is_safe, GiveUpReason.MAY_HAVE_RUN),
        (not attempt.is_body_kept, GiveUpReason.BODY_NOT_KEPT),
        (attempt.remaining_ms <= 0, GiveUpReason.DEADLINE),
        (not attempt.can_end_before_stop, GiveUpReason.STOPPING),
        (
            attempt.attempts_made >= attempt.attempts_allowed,
            GiveUpReason.ATTEMPTS,
        ),
        (
            attempt.unoffered_attempts > MAX_UNOFFERED_ATTEMPTS,
            GiveUpReason.ATTEMPTS,
        ),
        (
            attempt.cut_attempts >= MAX_CUT_ATTEMPTS,
            GiveUpReason.CUT_TWICE,
        ),
    )
    return next((reason for holds, reason in checks if holds), None)

from dataclasses import replace
from itertools import product

import pytest

from rhubarbhollow_calls.refusal import Executed
from rhubarbhollow_calls.retry_budget import RetryBudget
from rhubarbhollow_calls.retry_decision import (
    AttemptView,
    GiveUp,
    GiveUpReason,
    Retry,
    decide_retry,
)
from rhubarbhollow_wire.clock import ManualClock

DEPTH = 18
ATTEMPTS = 3


def rich_budget() -> RetryBudget:
    return RetryBudget(1.0, 1e6, ManualClock())


def view(**changes: object) -> AttemptView:
    attempt = AttemptView(
        executed=Executed.UNKNOWN,
        is_idempotent=True,
        is_response_complete=False,
        is_response_started=False,
        is_from_deeper=False,
        is_body_kept=True,
        is_cancelled=False,
        tried=frozenset({"e1"}),
        attempts_made=1,
        attempts_allowed=ATTEMPTS,
        remaining_ms=50,
        budget=rich_budget(),
    )
    return replace(attempt, **changes)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({}, None),
        ({"is_idempotent": False, "executed": Executed.NO}, None),
        ({"is_idempotent": False}, GiveUpReason.MAY_HAVE_RUN),
        ({"is_response_complete": True}, GiveUpReason.ANSWERED),
        ({"is_response_started": True}, GiveUpReason.RESPONSE_STARTED),
        ({"is_from_deeper": True}, GiveUpReason.FROM_DEEPER),
        (
            {"is_from_deeper": True, "executed": Executed.NO},
            GiveUpReason.FROM_DEEPER,
        ),
        ({"is_body_kept": False}, GiveUpReason.BODY_NOT_KEPT),
        ({"is_cancelled": True}, GiveUpReason.CANCELLED),
        ({"remaining_ms": 0}, GiveUpReason.DEADLINE),
        ({"can_end_before_stop": False}, GiveUpReason.STOPPING),
        ({"attempts_made": ATTEMPTS}, GiveUpReason.ATTEMPTS),
        ({"cut_attempts": 1}, None),
        ({"cut_attempts": 2}, GiveUpReason.CUT_TWICE),
        (
            {"budget": RetryBudget(0.0, 0.0, ManualClock())},
            GiveUpReason.BUDGET,
        ),
    ],
)
def test_decisions(
    changes: dict[str, object], reason: GiveUpReason | None
) -> None:
    decision = decide_retry(view(**changes))
    if reason is None:
        assert decision == Retry(frozenset({"e1"}))
    else:
        assert decision == GiveUp(reason)


def test_call_that_may_have_run_is_not_retried_unless_idempotent() -> None:
    flags = ("is_response_complete", "is_response_started", "is_from_deeper")
    for values in product((False, True), repeat=len(flags)):
        changes = dict(zip(flags, values, strict=True))
        decision = decide_retry(view(is_idempotent=False, **changes))
        assert isinstance(decision, GiveUp)


def test_giving_up_takes_no_token() -> None:
    budget = rich_budget()
    before = budget.balance
    decide_retry(view(budget=budget, is_from_deeper=True))
    assert budget.balance == before
    decide_retry(view(budget=budget))
    assert budget.balance == before - 1


class Chain:
    """Call through a chain of hops of which the last always fails.

    ``executed`` is the value in the failure of the last hop. Each hop
    marks a failure that it passes on as decided, as the nodes do.
    """

    def __init__(self, depth: int, executed: Executed) -> None:
        self.depth = depth
        self.executed = executed
        self.attempts = [0] * (depth + 1)
        self.budgets = [rich_budget() for _ in range(depth + 1)]

    def call(self, hop: int) -> bool:
        """Return whether the returned failure is marked as decided."""
        made = 0
        tried: frozenset[str] = frozenset()
        while True:
            made += 1
            self.attempts[hop] += 1
            tried |= {f"e{made}"}
            is_from_deeper = hop < self.depth and self.call(hop + 1)
            decision = decide_retry(
                view(
                    executed=self.executed,
                    is_from_deeper=is_from_deeper,
                    attempts_made=made,
                    tried=tried,
                    budget=self.budgets[hop],
                )
            )
            if isinstance(decision, GiveUp):
                return True
            assert decision.excluded == tried

    def call_naively(self, hop: int) -> None:
        """Make ``ATTEMPTS`` attempts at each hop for any failure."""
        for _ in range(ATTEMPTS):
            self.attempts[hop] += 1
            if hop < self.depth:
                self.call_naively(hop + 1)


@pytest.mark.parametrize("executed", Executed)
def test_retries_do_not_multiply_with_depth(executed: Executed) -> None:
    """Only the hop next to the failure retries.

    If every hop retried, attempts would grow exponentially with depth.
    """
    for depth in range(1, DEPTH + 1):
        chain = Chain(depth, executed)
        chain.call(1)
        assert chain.attempts[1:] == [1] * (depth - 1) + [ATTEMPTS]
    # The naive count at depth 18 is 3**18 attempts, too many to run, so
    # the growth is checked up to depth 8.
    for depth in range(1, 9):
        naive = Chain(depth, executed)
        naive.call_naively(1)
        assert naive.attempts[depth] == ATTEMPTS**depth

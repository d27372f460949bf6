import math
import random

from rhubarbhollow_calls.retry_budget import BUDGET_DECAY_SECONDS, RetryBudget
from rhubarbhollow_wire.clock import ManualClock


def test_balance_equals_the_sum_over_all_calls() -> None:
    """Compare the incremental balance with a sum over all events."""
    rng = random.Random(3)
    clock = ManualClock()
    budget = RetryBudget(0.2, 0.0, clock)
    calls: list[float] = []
    # A spent token decays like the calls that paid for it.
    spent: list[float] = []
    granted = 0
    for _ in range(3000):
        clock.advance(rng.expovariate(20))
        now = clock.monotonic()
        if rng.random() < 0.6:
            budget.record_call()
            calls.append(now)
        decayed = [
            sum(math.exp((at - now) / BUDGET_DECAY_SECONDS) for at in times)
            for times in (calls, spent)
        ]
        balance = 0.2 * decayed[0] - decayed[1]
        assert math.isclose(budget.balance, balance, abs_tol=1e-6)
        if rng.random() < 0.4:
            is_granted = budget.try_spend()
            assert is_granted == (balance >= 1)
            if is_granted:
                spent.append(now)
                granted += 1
    assert 0 < granted <= 0.2 * len(calls)


def test_steady_rate_grants_retries_to_a_node_with_few_calls() -> None:
    clock = ManualClock()
    budget = RetryBudget(0.1, 2.0, clock)
    assert budget.balance == 2
    assert [budget.try_spend() for _ in range(3)] == [True, True, False]
    clock.advance(0.5)
    assert [budget.try_spend() for _ in range(2)] == [True, False]
    # An idle hour accumulates no more than one second's tokens.
    clock.advance(3600)
    assert sum(budget.try_spend() for _ in range(50)) == 2


def test_one_whole_token_is_enough() -> None:
    budget = RetryBudget(1.0, 1.0, ManualClock())
    budget.record_call()
    assert budget.balance == 2
    assert [budget.try_spend() for _ in range(3)] == [True, True, False]


def test_zero_budget_grants_nothing() -> None:
    clock = ManualClock()
    budget = RetryBudget(0.0, 0.0, clock)
    for _ in range(100):
        budget.record_call()
        clock.advance(1)
        assert not budget.try_spend()

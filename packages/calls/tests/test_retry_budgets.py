"""Retry budgets of many nodes and the load on a failing service."""

from collections import deque
from dataclasses import replace
from random import Random

import pytest
from tests.standin.mesh import DEFAULT_ROUTE

from rhubarbhollow_calls.retry_budgets import RetryBudgets
from rhubarbhollow_wire.clock import ManualClock

WINDOW_SECONDS = 10.0
RATIO = 0.08
# Largest share of the calls in a window that may be retries. No
# tolerance is added.
ALLOWED = 0.2
# Calls per second of each node, by route.
RATES = {"order": 1.5, "lookup": 6.3, "history": 1.0}
ROUTES = {
    name: replace(DEFAULT_ROUTE, name=name, budget_ratio=RATIO)
    for name in RATES
}


def test_routes_to_one_service_share_a_budget():
    budgets = RetryBudgets(ManualClock())
    assert budgets.of(ROUTES["order"]) is budgets.of(ROUTES["lookup"])
    other = replace(ROUTES["order"], service="other")
    assert budgets.of(other) is not budgets.of(ROUTES["order"])
    budgets.retain([other])
    assert budgets.of(other) is budgets.of(other)


@pytest.mark.parametrize("nodes", [5, 92])
@pytest.mark.parametrize("seed", range(2))
def test_service_that_fails_at_once_is_not_flooded(nodes, seed):
    """Check that full budgets do not overload a service that fails.

    Every node's budget is full when all calls start to fail, and the
    nodes spend their tokens at the same time.
    """
    random = Random(seed)
    clock = ManualClock()
    fleet = [RetryBudgets(clock) for _ in range(nodes)]
    calls: deque[float] = deque()
    repeats: deque[float] = deque()
    worst = 0.0
    rate = nodes * sum(RATES.values())
    while (now := clock.monotonic()) < 60:
        clock.advance(random.expovariate(rate))
        (name,) = random.choices(list(RATES), list(RATES.values()))
        budget = random.choice(fleet).of(ROUTES[name])
        budget.record_call()
        calls.append(now)
        if now > 30 and budget.try_spend():
            repeats.append(now)
        for times in (calls, repeats):
            while times and times[0] < now - WINDOW_SECONDS:
                times.popleft()
        if now > 30:
            worst = max(worst, len(repeats) / len(calls))
    # Leaves ``RATIO`` for the calls that retried calls make in turn.
    assert 0.05 < worst < ALLOWED - RATIO

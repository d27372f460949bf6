from rhubarbhollow_calls.body_budget import BodyBudget
from rhubarbhollow_calls.http_limits import (
    MAX_WAITING_BODIES_BYTES,
    MAX_WAITING_BODY_BYTES,
)


def test_one_body_cannot_take_the_whole_budget():
    budget = BodyBudget()
    assert budget.reserve(1, MAX_WAITING_BODY_BYTES)
    assert not budget.reserve(1, MAX_WAITING_BODY_BYTES + 1)


def test_all_bodies_together_stay_within_the_budget():
    budget = BodyBudget()
    step = MAX_WAITING_BODY_BYTES
    granted = sum(budget.reserve(step, step) for _ in range(100)) * step
    assert granted == budget.used == MAX_WAITING_BODIES_BYTES
    budget.release(step)
    assert budget.reserve(step, step)

"""When refused callers return, by the loads that they meet."""

import random

import pytest

from rhubarbhollow_calls.refusal import RefusalKind
from rhubarbhollow_calls.return_delay import return_delay

BUSY_KINDS = (
    RefusalKind.QUEUE_FULL,
    RefusalKind.SHED,
    RefusalKind.DRAINING,
    RefusalKind.STALE_POSITION,
)
STARTING_KINDS = (
    RefusalKind.NO_RELEASE,
    RefusalKind.NO_UPSTREAM,
    RefusalKind.ROUTE_UNCONFIRMED,
)


def delays(kind, left, objective):
    rng = random.Random(3)
    return [return_delay(kind, left, objective, rng) for _ in range(300)]


@pytest.mark.parametrize("kind", BUSY_KINDS)
@pytest.mark.parametrize("objective", [0.06, 0.2, 0.5, 3.0])
def test_a_caller_of_a_busy_service_can_still_be_served_in_time(
    kind, objective
):
    """Guard against a delay that takes most of a short objective.

    A call of this objective takes about a third of it, and as long in
    the queue.
    """
    for delay in delays(kind, 2.5 * objective, objective):
        assert 0 < delay <= 0.12
        assert delay + 2 / 3 * objective < objective


@pytest.mark.parametrize("kind", STARTING_KINDS)
def test_callers_of_a_starting_service_are_served_at_their_return(kind):
    """Play callers of an outage of 400 ms that return once."""
    rng = random.Random(5)
    served = sum(
        rng.uniform(0, 0.4) + return_delay(kind, 1.5, 0.5, rng) >= 0.4
        for _ in range(1_000)
    )
    before = sum(rng.uniform(0, 0.4) + 0.08 >= 0.4 for _ in range(1_000))
    assert before < 250
    assert served > 900


@pytest.mark.parametrize("kind", STARTING_KINDS)
def test_callers_return_well_before_their_deadline(kind):
    """Guard against a delay after which nothing can be served."""
    assert max(delays(kind, 0.6, 0.2)) <= 0.3


def test_callers_refused_together_return_apart():
    """Guard against a second burst of the same callers."""
    spread = delays(RefusalKind.QUEUE_FULL, 1.0, 0.5)
    assert max(spread) > 2 * min(spread)


def test_a_caller_without_deadline_or_objective_returns_soon():
    """Guard against a delay of no time at all."""
    for kind in (*BUSY_KINDS, *STARTING_KINDS):
        assert min(delays(kind, 0.0, None)) >= 0.04

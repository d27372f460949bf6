"""Which calls a stopping node takes, by the loads that it meets."""

import math
import random

import pytest

from rhubarbhollow_calls.deadline import Deadline
from rhubarbhollow_calls.stop_admission import (
    OBJECTIVE_MARGIN,
    RESPONSE_SECONDS,
    bound_by_stop,
    can_end_before_stop,
)

STOP = 5.5
# Latency objective and timeout of a route, in seconds.
ROUTES = ((0.3, 0.8), (0.5, 1.2), (0.6, 1.5), (2.0, 5.0))


def arrivals(objective):
    """Play calls of a stop: arrival and service time in seconds.

    Their service takes a third of the objective on average, and more
    than the objective for one in a hundred.
    """
    rng = random.Random(7)
    for _ in range(5_000):
        yield rng.uniform(0, STOP), rng.gammavariate(4, objective / 12)


@pytest.mark.parametrize(("objective", "timeout"), ROUTES)
def test_calls_that_are_taken_end_before_the_stop(objective, timeout):
    """Guard against calls that are taken only to be cut."""
    taken, cut = 0, 0
    for at, service in arrivals(objective):
        if can_end_before_stop(STOP - at, timeout, objective):
            taken += 1
            cut += at + min(service, timeout) > STOP
    assert taken > 1_000
    assert cut == 0


@pytest.mark.parametrize(("objective", "timeout"), ROUTES)
def test_calls_with_time_enough_are_not_refused(objective, timeout):
    """Guard against refusals while callers have not yet left."""
    needed = min(timeout, OBJECTIVE_MARGIN * objective) + RESPONSE_SECONDS
    for at, _ in arrivals(objective):
        is_early = at < STOP - needed - 0.001
        assert not is_early or can_end_before_stop(
            STOP - at, timeout, objective
        )
    assert can_end_before_stop(math.inf, 1e9, None)


@pytest.mark.parametrize(
    ("left", "allowed", "objective", "can_end"),
    [
        (5.5, 5.0, None, True),
        (5.0, 5.0, None, False),
        (2.0, 5.0, 2.0, False),
        (2.0, 1.5, 2.0, True),
        (0.05, 0.0, 0.5, False),
    ],
)
def test_a_call_without_an_objective_may_take_all_of_its_time(
    left, allowed, objective, can_end
):
    assert can_end_before_stop(left, allowed, objective) is can_end


def test_an_upstream_is_told_no_more_time_than_its_node_has():
    """Guard against an upstream at work after its node has ended."""
    latest = STOP - RESPONSE_SECONDS
    assert bound_by_stop(Deadline(9.0), STOP) == Deadline(latest)
    assert bound_by_stop(Deadline(3.0), STOP) == Deadline(3.0)
    assert bound_by_stop(Deadline(9.0), math.inf) == Deadline(9.0)

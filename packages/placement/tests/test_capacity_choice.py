from collections import Counter
from random import Random

from rhubarbhollow_placement.capacity_choice import (
    Capacity,
    choose_by_capacity,
)


def count(candidates, calls=4_000):
    random = Random(1)
    return Counter(
        choose_by_capacity(candidates, random) for _ in range(calls)
    )


def test_nothing_is_chosen_without_a_free_slot():
    assert choose_by_capacity([], Random(1)) is None
    assert (
        choose_by_capacity([Capacity(0, 1, 1), Capacity(-2, 1, 1)], Random(1))
        is None
    )


def test_an_upstream_without_a_free_slot_gets_nothing():
    assert set(count([Capacity(0, 0.1, 0.1), Capacity(1, 0.1, 0.1)])) == {1}


def test_nodes_with_the_same_report_spread_over_equal_upstreams():
    """Guard against a herd at the upstream that reported best."""
    chosen = count([Capacity(5, 0.1, 0.1) for _ in range(10)])
    assert max(chosen.values()) < 1.3 * min(chosen.values())


def test_a_quick_upstream_takes_more_calls():
    chosen = count([Capacity(5, 0.1, 0.1), Capacity(5, 0.25, 0.25)])
    assert chosen[0] > 2.5 * chosen[1] > 0

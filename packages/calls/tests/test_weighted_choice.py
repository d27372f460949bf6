from collections import Counter
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from rhubarbhollow_calls.weighted_choice import WeightedChoice

WEIGHTS = st.lists(st.integers(1, 100), min_size=1, max_size=5)


class FirstPlace(Random):
    """Start each sequence at its beginning."""

    def randrange(self, *_):
        return 0


@given(WEIGHTS, st.integers(1, 400), st.integers(0, 9))
def test_any_run_of_calls_shows_the_weights(weights, calls, seed):
    """Guard against a service that gets more calls than its share."""
    parts = [(f"s{index}", weight) for index, weight in enumerate(weights)]
    choice = WeightedChoice(parts, Random(seed))
    counts = Counter(choice.next() for _ in range(calls))
    total = sum(weights)
    for service, weight in parts:
        expected = calls * weight / total
        assert abs(counts[service] - expected) < 2 * len(parts)


@given(WEIGHTS, st.integers(1, 400))
def test_the_first_calls_of_a_sequence_show_the_weights(weights, calls):
    """Guard against a sequence that is not as even as it can be."""
    parts = [(f"s{index}", weight) for index, weight in enumerate(weights)]
    choice = WeightedChoice(parts, FirstPlace())
    counts = Counter(choice.next() for _ in range(calls))
    total = sum(weights)
    for service, weight in parts:
        assert abs(counts[service] - calls * weight / total) <= len(parts)


def test_service_with_weight_zero_gets_no_calls():
    for seed in range(20):
        choice = WeightedChoice([("a", 1.0), ("b", 0.0)], Random(seed))
        assert {choice.next() for _ in range(50)} == {"a"}


def test_a_few_calls_on_each_of_many_nodes_show_the_weights():
    """Play 200 nodes with five calls each of a route that is split."""
    parts = [("old", 0.9), ("new", 0.1)]
    counts = Counter()
    for seed in range(200):
        choice = WeightedChoice(parts, Random(seed))
        counts.update(choice.next() for _ in range(5))
    assert 0.07 < counts["new"] / counts.total() < 0.13

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from rhubarbhollow_calls.weighted_choice import WeightedChoice

WEIGHTS = st.lists(st.integers(1, 100), min_size=1, max_size=5)


@given(WEIGHTS, st.integers(1, 400))
def test_any_run_of_calls_shows_the_weights(weights, calls):
    parts = [(f"s{index}", weight) for index, weight in enumerate(weights)]
    choice = WeightedChoice(parts)
    counts = Counter(choice.next() for _ in range(calls))
    total = sum(weights)
    for service, weight in parts:
        assert abs(counts[service] - calls * weight / total) <= len(parts)


def test_service_with_weight_zero_gets_no_calls():
    choice = WeightedChoice([("a", 1.0), ("b", 0.0)])
    assert {choice.next() for _ in range(50)} == {"a"}

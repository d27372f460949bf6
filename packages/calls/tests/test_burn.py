import random

import pytest

from rhubarbhollow_calls.burn import burn_rate
from rhubarbhollow_calls.burn_series import (
    COARSE_SECONDS,
    FINE_SECONDS,
    FINE_WINDOW_SECONDS,
    BurnCounts,
    BurnSeries,
)
from rhubarbhollow_calls.burn_window import BurnWindow


def naive_counts(
    calls: list[tuple[float, bool, bool]], now: float, window: int
) -> BurnCounts:
    size = FINE_SECONDS if window <= FINE_WINDOW_SECONDS else COARSE_SECONDS
    first = int(now / size) - window // size + 1
    seen = [call for call in calls if int(call[0] / size) >= first]
    failed = sum(is_failed for _, is_failed, _ in seen)
    late = sum(is_late and not is_failed for _, is_failed, is_late in seen)
    return BurnCounts(len(seen), failed, late)


def test_window_counts_agree_with_a_plain_list_of_calls() -> None:
    """Long pauses make the rings wrap around and skip buckets."""
    rng = random.Random(2)
    now = 12_345.6
    series = BurnSeries(now)
    calls = []
    pauses = [0.5, 9.0, 45.0, 400.0, 4000.0, 30_000.0, 300_000.0]
    for step in range(4000):
        now += rng.random() * rng.choices(pauses, [400, 9, 9, 9, 3, 1, 0.1])[0]
        call = (now, rng.random() < 0.2, rng.random() < 0.3)
        if rng.random() < 0.5:
            series.record(*call)
            calls.append(call)
        else:
            series.add(now, BurnCounts(3, 1, 1))
            ends = ((True, False), (False, True), (False, False))
            calls.extend((now, *end) for end in ends)
        if step % 20 == 0:
            at = now + rng.choice([0, 0, 100, 5000])
            for window in BurnWindow:
                seconds = window.seconds
                expected = naive_counts(calls, at, seconds)
                assert series.counts(at, seconds) == expected
            now = at


@pytest.mark.parametrize(
    ("bad", "total", "target", "rate"),
    [(0, 0, 0.99, 0), (0, 5, 0.99, 0), (1, 100, 0.99, 1), (5, 100, 0.9, 0.5)],
)
def test_burn_rate(bad: int, total: int, target: float, rate: float) -> None:
    assert burn_rate(bad, total, target) == pytest.approx(rate)

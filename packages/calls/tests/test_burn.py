import random

import pytest

from rhubarbhollow_calls.burn import MAX_SUBJECTS, BurnCounters, burn_rate
from rhubarbhollow_calls.burn_objective import BurnObjective
from rhubarbhollow_calls.burn_series import (
    COARSE_SECONDS,
    FINE_SECONDS,
    FINE_WINDOW_SECONDS,
    BurnCounts,
    BurnSeries,
)
from rhubarbhollow_calls.burn_subject import BurnScope, BurnSubject
from rhubarbhollow_calls.burn_window import BurnWindow
from rhubarbhollow_wire.clock import ManualClock

OBJECTIVE = BurnObjective(0.99, 0.9, 0.2)


def naive_counts(
    calls: list[tuple[float, bool, bool]], now: float, window: int
) -> BurnCounts:
    size = FINE_SECONDS if window <= FINE_WINDOW_SECONDS else COARSE_SECONDS
    first = int(now / size) - window // size + 1
    seen = [call for call in calls if int(call[0] / size) >= first]
    failed = sum(is_failed for _, is_failed, _ in seen)
    late = sum(is_late and not is_failed for _, is_failed, is_late in seen)
    return BurnCounts(len(seen), failed, late)


def test_windows_agree_with_a_list_of_calls() -> None:
    rng = random.Random(2)
    now = 12_345.6
    series = BurnSeries(now)
    calls = []
    pauses = [0.5, 9.0, 45.0, 400.0, 4000.0, 30_000.0, 300_000.0]
    for step in range(4000):
        now += rng.random() * rng.choices(pauses, [400, 9, 9, 9, 3, 1, 0.1])[0]
        call = (now, rng.random() < 0.2, rng.random() < 0.3)
        series.record(*call)
        calls.append(call)
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


def test_report_shows_burn_and_what_is_left() -> None:
    clock = ManualClock()
    counters = BurnCounters(OBJECTIVE, clock)
    subject = BurnSubject(BurnScope.ROUTE, "lots")
    series = counters.series(subject)
    assert counters.series(subject) is series
    assert [counters.is_late(s) for s in (0.2, 0.21)] == [False, True]
    for index in range(1000):
        series.record(clock.monotonic(), index < 5, index % 20 == 0)
    clock.advance(3600 * 7)
    series.record(clock.monotonic(), False, False)
    (burn,) = counters.report()
    assert burn.subject == subject
    windows = {window.window: window for window in burn.windows}
    assert windows[BurnWindow.SIX_HOURS].counts == BurnCounts(1, 0, 0)
    longest = windows[BurnWindow.THREE_DAYS]
    assert longest.counts == BurnCounts(1001, 5, 49)
    assert longest.availability_burn == pytest.approx(0.5, rel=0.01)
    assert burn.availability_remaining == pytest.approx(0.5, rel=0.01)
    assert burn.latency_remaining == pytest.approx(0.51, rel=0.01)


def test_subjects_are_bounded_by_scope() -> None:
    counters = BurnCounters(OBJECTIVE, ManualClock())
    counters.series(BurnSubject(BurnScope.SERVICE, "s"))
    for position in range(20):
        counters.series(BurnSubject(BurnScope.POSITION, str(position)))
    names = [burn.subject.name for burn in counters.report()]
    assert names == ["s", *map(str, range(12, 20))]
    assert MAX_SUBJECTS[BurnScope.POSITION] == 8

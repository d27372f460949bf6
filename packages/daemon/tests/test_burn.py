"""Counting calls against objectives and the report on them."""

from random import Random

import pytest

from rhubarbhollow_daemon.burn_collection import sum_counts
from rhubarbhollow_daemon.burn_recorder import BurnKey, BurnRecorder
from rhubarbhollow_daemon.burn_view import build_burn_report
from rhubarbhollow_daemon.node_messages import BurnCount
from rhubarbhollow_release.manifest import Manifest
from rhubarbhollow_release.objectives import Objectives
from rhubarbhollow_release.service import Service
from rhubarbhollow_wire.clock import ManualClock

COUNTER_DESK = Service("counter-desk", objectives=Objectives(0.999, 100, 0.99))
MANIFEST = Manifest(1, "mesh", 1, (COUNTER_DESK,), (), ())


def test_counts_match_a_plain_list_of_calls():
    """Guard against calls lost or counted twice between flushes.

    Compares every series with a count over the list of all calls.
    """
    random = Random(3)
    clock = ManualClock()
    recorder = BurnRecorder(clock)
    recorder.set_objectives({"counter-desk": 0.1})
    calls = []
    for _ in range(2_000):
        key = BurnKey(
            "counter-desk", random.choice("ab"), random.choice("uv"), 1
        )
        seconds = random.uniform(0, 0.2)
        is_error = random.random() < 0.1
        if random.random() < 0.05:
            recorder.count_failure(key)
            calls.append((key, True, False))
        else:
            recorder.count_answer(key, seconds, is_error=is_error)
            late = seconds > 0.1 and not is_error
            calls.append((key, is_error, late))
        clock.advance(random.uniform(0, 0.05))
    for count in recorder.counts():
        matching = [
            call
            for call in calls
            if count.name
            in (call[0].service, call[0].route, call[0].upstream, "1")
        ]
        assert count.calls == len(matching)
        assert count.failed == sum(failed for _, failed, _ in matching)
        assert count.late == sum(late for _, _, late in matching)


def test_old_calls_leave_the_short_windows_first():
    """Guard against a window that keeps calls older than its length."""
    clock = ManualClock()
    recorder = BurnRecorder(clock)
    recorder.count_failure(BurnKey("counter-desk", "r", "", 1))
    recorder.flush()
    clock.advance(1_800)
    counts = {
        one.window_seconds: one.calls
        for one in recorder.counts()
        if one.scope == "service"
    }
    assert counts == {300: 0, 3_600: 1, 21_600: 1, 259_200: 1}


@pytest.mark.parametrize(
    ("failed", "state"),
    [(0, "ok"), (7, "slow_burn"), (20, "fast_burn")],
)
def test_state_distinguishes_fast_from_slow_burn(failed, state):
    """Guard against wrong burn thresholds, rates or budgets."""
    counts = [
        BurnCount("service", "counter-desk", "counter-desk", window, *numbers)
        for window in (300, 3_600, 21_600, 259_200)
        for numbers in [(1_000, failed, 0)]
    ]
    (service,) = build_burn_report(MANIFEST, 3, 2, sum_counts(counts)).services
    assert service.state == state
    assert service.windows[0].availability_burn == float(failed)
    assert service.availability_remaining == 1.0 - failed


def test_counts_of_several_nodes_are_summed():
    """Guard against counts of one node that replace another's."""
    one = BurnCount("route", "s", "r", 300, 10, 1, 2)
    assert sum_counts([one, one]) == (
        BurnCount("route", "s", "r", 300, 20, 2, 4),
    )

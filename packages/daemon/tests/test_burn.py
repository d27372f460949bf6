from random import Random

import pytest

from rhubarbhollow_daemon.burn_collection import sum_counts
from rhubarbhollow_daemon.burn_ledger import BurnKey, BurnLedger
from rhubarbhollow_daemon.burn_view import build_burn
from rhubarbhollow_daemon.messages import BurnCount
from rhubarbhollow_release.manifest import Manifest
from rhubarbhollow_release.objectives import Objectives
from rhubarbhollow_release.service import Service
from rhubarbhollow_wire.clock import ManualClock

DESK = Service("counter-desk", objectives=Objectives(0.999, 100, 0.99))
MANIFEST = Manifest(1, "mesh", 1, (DESK,), (), ())


def test_counts_what_a_plain_list_of_calls_counts():
    random = Random(3)
    clock = ManualClock()
    ledger = BurnLedger(clock)
    ledger.set_objectives({"counter-desk": 0.1})
    calls = []
    for _ in range(2_000):
        key = BurnKey(
            "counter-desk", random.choice("ab"), random.choice("uv"), 1
        )
        seconds = random.uniform(0, 0.2)
        is_error = random.random() < 0.1
        if random.random() < 0.05:
            ledger.count_failure(key)
            calls.append((key, True, False))
        else:
            ledger.count_answer(key, seconds, is_error=is_error)
            late = seconds > 0.1 and not is_error
            calls.append((key, is_error, late))
        clock.advance(random.uniform(0, 0.05))
    for count in ledger.counts():
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
    clock = ManualClock()
    ledger = BurnLedger(clock)
    ledger.count_failure(BurnKey("counter-desk", "r", "", 1))
    ledger.flush()
    clock.advance(1_800)
    counts = {
        one.window_seconds: one.calls
        for one in ledger.counts()
        if one.scope == "service"
    }
    assert counts == {300: 0, 3_600: 1, 21_600: 1, 259_200: 1}


@pytest.mark.parametrize(
    ("failed", "state"),
    [(0, "ok"), (7, "slow_burn"), (20, "fast_burn")],
)
def test_tells_fast_from_slow_burn(failed, state):
    counts = [
        BurnCount("service", "counter-desk", "counter-desk", window, *numbers)
        for window in (300, 3_600, 21_600, 259_200)
        for numbers in [(1_000, failed, 0)]
    ]
    (service,) = build_burn(MANIFEST, 3, 2, sum_counts(counts)).services
    assert service.state == state
    assert service.windows[0].availability_burn == float(failed)
    assert service.availability_remaining == 1.0 - failed


def test_sums_the_counts_of_several_nodes():
    one = BurnCount("route", "s", "r", 300, 10, 1, 2)
    assert sum_counts([one, one]) == (
        BurnCount("route", "s", "r", 300, 20, 2, 4),
    )

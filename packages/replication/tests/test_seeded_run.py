"""Fixed seeds of the long random run."""

from __future__ import annotations

from collections import Counter

import pytest
from seeded_run import FAULTS, run_seed

STEPS = 12_000


@pytest.mark.parametrize("seed", range(1, 9))
def test_what_was_acknowledged_stays_on_all_members(seed):
    report = run_seed(seed, STEPS)
    assert report.is_settled
    assert report.acknowledged > 100
    assert report.reads > 20
    assert report.fresh_claims > 1000


def test_a_seed_repeats_and_the_runs_meet_every_fault():
    reports = [run_seed(seed, STEPS // 2) for seed in (11, 12, 13)]
    assert run_seed(11, STEPS // 2) == reports[0]
    events = sum((report.events for report in reports), Counter())
    expected = {fault.__name__ for fault in FAULTS}
    expected |= {"disk lost", "corrupt", "store failed", "crash in write"}
    assert expected <= set(events)

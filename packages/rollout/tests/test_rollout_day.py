"""Guards against wrong, late or too costly verdicts on new versions."""

from __future__ import annotations

import logging
from random import Random

import pytest
from rollout_day import Day, Fault

from rhubarbhollow_rollout.record import RolloutState

EXPOSURE_SHARE = 0.10
EXPOSURE_SLACK = 50
ROLLBACK_SECONDS = 5.0
MAX_STRETCH_SECONDS = 5.0

FAULTS = {
    "fails at once": Fault(0.3),
    "fails a little": Fault(0.08),
    "fails later": Fault(0.4, begins_at=18.0),
    "slow in part": Fault(0.5, slowdown=4.0),
    "slow": Fault(1.0, slowdown=3.0),
    "under load only": Fault(0.5, min_in_flight=1),
    "on one route": Fault(0.6, route="plate-register"),
    "slow on one route": Fault(0.6, slowdown=4.0, route="time-claim"),
}
_log = logging.getLogger(__name__)


def report(name: str, day: Day) -> None:
    result = day.result
    _log.info(
        "%s, slow day %s, evidence %s: %s after %.1f s, %d of %d calls"
        " (%.3f), %d bad, last %.1f s after the 50th",
        name,
        day.slow_day,
        day.uses_evidence,
        result.state.value,
        result.decided_at,
        result.sent_new,
        result.total,
        result.sent_new / result.total,
        result.bad,
        result.late_by,
    )


@pytest.mark.parametrize("slow_day", [False, True])
@pytest.mark.parametrize("name", FAULTS)
def test_a_bad_version_is_rolled_back_within_the_bounds(
    name: str, slow_day: bool
) -> None:
    for seed in (1, 2):
        day = Day(seed, FAULTS[name], slow_day=slow_day)
        result = day.run()
        report(name, day)
        assert result.state is RolloutState.ROLLED_BACK
        bound = EXPOSURE_SHARE * result.total + EXPOSURE_SLACK
        assert result.sent_new <= bound
        assert result.late_by <= ROLLBACK_SECONDS


@pytest.mark.parametrize("slow_day", [False, True])
def test_a_good_version_is_completed_by_the_deadline(slow_day: bool) -> None:
    """On a slow day all versions fail now and then and take longer."""
    for seed in range(5):
        day = Day(seed, Fault(), slow_day=slow_day, duration=20.0)
        result = day.run()
        report("good", day)
        assert result.state is RolloutState.COMPLETED
        assert result.decided_at < day.duration


@pytest.mark.parametrize("nodes", [6, 13])
def test_machines_that_slow_down_are_no_evidence(nodes: int) -> None:
    """The few upstreams that are exposed may be on slow machines."""
    for seed in range(6):
        day = Day(
            seed,
            Fault(),
            nodes=nodes,
            duration=20.0,
            has_slowdowns=True,
            slow_day=seed % 2 == 1,
        )
        result = day.run()
        report("good", day)
        assert result.state is RolloutState.COMPLETED


@pytest.mark.parametrize("fault", [Fault(0.3, 3.0), Fault(0.2, 4.0)])
def test_a_version_that_is_slow_at_times_is_found_among_them(
    fault: Fault,
) -> None:
    for seed in (1, 2):
        day = Day(seed, fault, nodes=13, duration=20.0, has_slowdowns=True)
        result = day.run()
        report("slow at times", day)
        assert result.state is RolloutState.ROLLED_BACK
        assert result.late_by <= ROLLBACK_SECONDS


@pytest.mark.parametrize("name", FAULTS)
def test_fixed_steps_expose_more_than_the_bound(name: str) -> None:
    """The baseline raises the share whatever the evidence."""
    day = Day(1, FAULTS[name], uses_evidence=False)
    result = day.run()
    report(name, day)
    assert result.sent_new > EXPOSURE_SHARE * result.total + EXPOSURE_SLACK
    guided = Day(1, FAULTS[name]).run()
    assert guided.bad < result.bad / 4


@pytest.mark.parametrize("seed", range(12))
def test_cuts_restarts_and_new_leaders_keep_the_bounds(seed: int) -> None:
    """A node that hears of no rollback may not go on exposing calls."""
    random = Random(seed)
    name = random.choice(sorted(FAULTS))
    day = Day(
        seed,
        FAULTS[name],
        cuts=((random.uniform(0, 20), 6.0),),
        restarts=tuple(random.uniform(0, 25) for _ in range(20)),
        new_leaders=tuple(random.uniform(0, 25) for _ in range(2)),
    )
    result = day.run()
    report(name, day)
    assert result.state is RolloutState.ROLLED_BACK
    bound = EXPOSURE_SHARE * result.total + EXPOSURE_SLACK
    assert result.sent_new <= bound
    assert result.late_by <= ROLLBACK_SECONDS + MAX_STRETCH_SECONDS

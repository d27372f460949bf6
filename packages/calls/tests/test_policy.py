from dataclasses import replace

import pytest
from bench.policy_trial import SCENARIOS, Trial

from rhubarbhollow_calls.call_priority import CallPriority


# ``gain`` is the least increase over the naive policy in the share of
# interactive calls answered in time; ``bulk`` is the least share of
# bulk calls answered in time.
@pytest.mark.parametrize(
    ("name", "gain", "bulk"),
    [
        ("load 0.7", -0.002, 0.999),
        ("load 1.3", 0.5, 0.2),
        ("one slow", 0.05, 0.99),
        ("crashes", -0.002, 0.99),
        ("poison", 0.3, 0.99),
    ],
)
def test_decisions_against_naive_ones(
    name: str, gain: float, bulk: float
) -> None:
    """Compare the decisions with naive ones under the same events.

    Guards against policies that answer fewer calls in time, run a call
    twice, send more than 1.25 attempts per call, or let a request that
    crashes upstreams crash more than two.
    """
    (scenario,) = (s for s in SCENARIOS if s.name == name)
    scenario = replace(scenario, seconds=6.0)
    naive = Trial(scenario, 5, is_naive=True).run()
    ours = Trial(scenario, 5, is_naive=False).run()
    assert (
        ours.share(CallPriority.INTERACTIVE)
        >= naive.share(CallPriority.INTERACTIVE) + gain
    )
    assert ours.share(CallPriority.BULK) >= bulk
    assert ours.double_runs == 0
    assert ours.attempts <= 1.25 * sum(ours.sent.values())
    if scenario.poison_every:
        assert ours.crashes == 2

"""The admission trial itself, and what the policies are held to."""

import pytest
from bench.admission_gates import POLICIES
from bench.admission_loads import LOADS
from bench.admission_trial import Trial

BY_NAME = {load.name: load for load in LOADS}


@pytest.mark.parametrize("policy", POLICIES)
def test_each_call_of_a_client_ends_once(policy):
    """Guard against a trial that loses calls or counts them twice."""
    for name in ("archive, hot tenant", "tournament, wave x 2"):
        trial = Trial(BY_NAME[name], policy, 1)
        total = trial.run().total
        ends = total.on_time + total.late + total.rejected + total.timed_out
        assert ends == total.offered > 1000
        assert not trial.waiting
        assert all(
            upstream.gate.load == 0
            for upstreams in trial.upstreams.values()
            for upstream in upstreams
        )


def test_a_seed_gives_the_same_figures():
    """Guard against a trial whose figures cannot be compared."""
    load = BY_NAME["archive, all x 1.8"]
    first = Trial(load, "lanes", 3).run()
    assert Trial(load, "lanes", 3).run().total == first.total
    assert Trial(load, "lanes", 4).run().total != first.total

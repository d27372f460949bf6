"""The admission trial itself, and what the policies are held to."""

import pytest
from bench.admission_gates import POLICIES
from bench.admission_loads import LOADS
from bench.admission_report import play
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


def total_of(name, policy):
    return play(BY_NAME[name], policy, range(2))


@pytest.mark.parametrize(
    "name",
    [
        "archive, browse x 2.5",
        "archive, hot tenant",
        "tournament, wave x 2",
        "one gate, all x 3",
    ],
)
def test_the_new_decision_is_fair_under_overload(name):
    """Guard against a route or tenant that pays for all others.

    The bounds are those of HARD-LOAD.md: a quarter of the average, and
    0.05 between a route and a less urgent one.
    """
    assert total_of(name, "new").faults(BY_NAME[name].mesh) == []


@pytest.mark.parametrize(
    ("name", "gain"),
    [
        ("archive, browse x 2.5", 0.15),
        ("archive, all x 1.8", 0.1),
        ("archive, hot tenant", 0.15),
    ],
)
def test_a_surge_earns_more_than_with_lanes(name, gain):
    """Guard against a queue of calls that all start too late.

    The load: urgent routes that could wait until their deadline.
    """
    lanes, new = total_of(name, "lanes"), total_of(name, "new")
    assert new.total.value > lanes.total.value + gain
    assert new.total.timed_out <= lanes.total.timed_out
    # The second after the first second of calm is as good as the rest.
    assert new.after_surge.value > 0.85 > lanes.after_surge.value


@pytest.mark.parametrize("name", ["archive quiet", "tournament quiet"])
def test_a_quiet_mesh_is_served_as_before(name):
    """Guard against rejections where there is no overload."""
    lanes, new = total_of(name, "lanes"), total_of(name, "new")
    assert new.total.value > lanes.total.value - 0.01
    assert new.total.rejected <= lanes.total.rejected + 2

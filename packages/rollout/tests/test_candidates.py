"""Guards against traffic to versions that may not receive it."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from rhubarbhollow_rollout.messages import RolloutExposure, RolloutView
from rhubarbhollow_rollout.node import SETTLE_SECONDS, NodeRollouts
from rhubarbhollow_wire.clock import ManualClock


@dataclass(frozen=True)
class Fake:
    name: str
    version: str
    data_centre: str = "dc1"
    incarnation: int = 1


OLD = [Fake(f"o{index}", "v1") for index in range(10)]
NEW = [Fake(f"n{index}", "v2", incarnation=2) for index in range(10)]


def start(*views: RolloutView) -> NodeRollouts:
    clock = ManualClock()
    rollouts = NodeRollouts(clock, Random(1))
    rollouts.divide("frame", OLD)
    clock.advance(SETTLE_SECONDS)
    rollouts.accept(RolloutExposure(0, 0, views))
    return rollouts


def view(state: int, share: int = 90, step: int = 0) -> RolloutView:
    return RolloutView("frame", 1, 1 + step, "v2", "", state, share, step)


def names(upstreams: list[Fake]) -> set[str]:
    return {upstream.name for upstream in upstreams}


def test_one_version_is_not_divided() -> None:
    assert start().divide("frame", OLD) is None
    assert start(view(1)).divide("frame", OLD) is None
    assert start(view(3)).divide("frame", NEW) is None
    assert start().divide("frame", []) is None


def test_a_version_that_no_order_named_gets_nothing() -> None:
    division = start().divide("frame", OLD[:1] + NEW)
    assert division is not None
    assert division.stable == {"o0"}
    assert not division.new


def test_a_node_that_starts_late_knows_the_older_version() -> None:
    """Both versions are equally many when it sees them first."""
    division = NodeRollouts(ManualClock(), Random(1)).divide(
        "frame", NEW + OLD
    )
    assert division is not None
    assert division.stable == names(OLD)


def test_a_node_that_learns_of_the_new_ones_first() -> None:
    """After a loss of power upstreams are announced in any order."""
    rollouts = NodeRollouts(ManualClock(), Random(1))
    rollouts.divide("frame", NEW[:2])
    rollouts.divide("frame", NEW[:4] + OLD[:2])
    division = rollouts.divide("frame", NEW[:9] + OLD)
    assert division is not None
    assert division.stable == names(OLD)


def test_as_many_new_ones_in_a_young_mesh_change_nothing() -> None:
    """Nodes that start together may start in any order."""
    rollouts = NodeRollouts(ManualClock(), Random(1))
    late = [Fake(f"o{index}", "v1", incarnation=9) for index in range(10)]
    rollouts.divide("frame", late)
    division = rollouts.divide("frame", late + NEW)
    assert division is not None
    assert division.stable == names(OLD)


def test_the_share_goes_to_a_few_that_have_the_usual_load() -> None:
    """A version that fails only under load would pass otherwise."""
    first = start(view(1)).divide("frame", OLD + NEW)
    second = start(view(1, step=1)).divide("frame", OLD + NEW)
    assert first is not None
    assert second is not None
    assert first.stable == names(OLD)
    assert len(first.new) == 2
    assert not first.new & second.new


def test_each_data_centre_exposes_an_upstream_of_its_own() -> None:
    far = [Fake("f0", "v1", "dc2"), Fake("f1", "v2", "dc2")]
    division = start(view(1)).divide("frame", OLD + NEW + far)
    assert division is not None
    assert "f1" in division.new


def test_all_receive_calls_before_completion() -> None:
    division = start(view(1, share=1000)).divide("frame", OLD + NEW)
    assert division is not None
    assert division.new == names(NEW)


def test_outcomes() -> None:
    completed = start(view(2)).divide("frame", OLD + NEW)
    assert completed is not None
    assert completed.stable == names(NEW)
    rolled_back = start(view(3)).divide("frame", OLD + NEW)
    assert rolled_back is not None
    assert rolled_back.stable == names(OLD)
    assert not rolled_back.new


def test_a_third_version_gets_nothing() -> None:
    third = [Fake("t0", "v3", incarnation=3)]
    for state in (1, 2, 3):
        division = start(view(state)).divide("frame", OLD + NEW + third)
        assert division is not None
        assert "t0" not in division.stable | division.new


def test_a_version_that_disappeared_is_forgotten() -> None:
    """Upstreams were replaced by hand, without an order."""
    clock = ManualClock()
    rollouts = NodeRollouts(clock, Random(1))
    rollouts.divide("frame", OLD)
    clock.advance(SETTLE_SECONDS)
    rollouts.divide("frame", NEW)
    division = rollouts.divide("frame", OLD + NEW)
    assert division is not None
    assert division.stable == names(OLD)
    rollouts.divide("frame", NEW)
    clock.advance(31)
    rollouts.divide("frame", NEW)
    division = rollouts.divide("frame", OLD + NEW)
    assert division is not None
    assert division.stable == names(NEW)

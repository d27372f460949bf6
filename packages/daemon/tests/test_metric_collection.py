"""Samples of routes in the metrics of a node."""

from random import Random
from types import SimpleNamespace

from rhubarbhollow_calls.io_counters import RouteCounters
from rhubarbhollow_calls.slot_admission import SlotRefusal
from rhubarbhollow_daemon.metric_collection import (
    _collect_rejections,
    _collect_route_metrics,
    _collect_voter_metrics,
)
from rhubarbhollow_daemon.metrics import Metrics
from rhubarbhollow_daemon.release_machine import ReleaseMachine
from rhubarbhollow_daemon.rollout_coordinator import RolloutCoordinator
from rhubarbhollow_daemon.rollout_metrics import (
    collect_control_rollouts,
    collect_node_rollouts,
)
from rhubarbhollow_replication.member import MemberRole
from rhubarbhollow_replication.role import Role
from rhubarbhollow_replication.status import MemberStatus, ReplicaStatus
from rhubarbhollow_rollout.command import (
    StartRollout,
    encode_rollout_command,
)
from rhubarbhollow_rollout.messages import RolloutEvidence, RolloutExposure
from rhubarbhollow_rollout.node import NodeRollouts
from rhubarbhollow_rollout.view import to_view
from rhubarbhollow_wire.clock import ManualClock


def test_idle_routes_have_no_series():
    """Guard against series of idle routes, which fill the memory."""
    assert not list(_collect_route_metrics("idle", RouteCounters()))


def test_used_routes_have_a_series_for_each_counter_above_zero():
    """Guard against missing labels or series for zero counters."""
    counters = RouteCounters()
    counters.answered = 3
    counters.retries = 1
    answer = Metrics("n1", "ilala").render(
        _collect_route_metrics("lookups", counters)
    )
    text = answer.body.decode()
    labels = 'data_centre="ilala",instance="n1"'
    calls = f'{{{labels},outcome="answered",route="lookups"}} 3'
    retries = f'{{{labels},route="lookups"}} 1'
    assert f"rhubarbhollow_calls_total{calls}" in text
    assert f"rhubarbhollow_call_retries_total{retries}" in text
    assert text.count("lookups") == 2


def test_a_silent_voter_shows_in_the_metrics_of_the_leader():
    """Guard against a quorum that shrinks without a trace."""
    members = (
        MemberStatus("a", MemberRole.VOTER, 5, is_alive=True),
        MemberStatus("b", MemberRole.VOTER, 5, is_alive=False),
        MemberStatus("c", MemberRole.LEARNER, 5, is_alive=True),
    )

    def sampled(role):
        status = ReplicaStatus(role, 1, "a", True, 1.0, 5, 5, members, None)
        samples = _collect_voter_metrics(status)
        return {sample.name: sample.value for sample in samples}

    assert sampled(Role.LEADER) == {"log_voters": 2, "log_voters_alive": 1}
    assert sampled(Role.FOLLOWER) == {"log_voters": 2}


def test_rollouts_have_no_series_before_the_first_order():
    machine = ReleaseMachine("m", {})
    parts = SimpleNamespace(machine=machine)
    assert not list(collect_control_rollouts(parts))
    assert not list(
        collect_node_rollouts(NodeRollouts(ManualClock(), Random(1)))
    )


def test_a_running_rollout_shows_in_the_metrics():
    """Guard against a rollback that nobody can explain."""
    machine = ReleaseMachine("m", {})
    order = StartRollout("frame", "v2", 9_000, 0)
    machine.apply(1, encode_rollout_command(order))
    coordinator = RolloutCoordinator(
        "c1", 1, machine, None, None, ManualClock()
    )
    evidence = RolloutEvidence(1, "r", 9, 0, 0, 0, 3, 2, 0, 1)
    coordinator.record_evidence((evidence, evidence))
    parts = SimpleNamespace(machine=machine, rollouts=coordinator)
    samples = list(collect_control_rollouts(parts))
    assert samples[0].value == 1
    counts = {
        (sample.labels["version"], sample.labels["result"]): sample.value
        for sample in samples[1:]
    }
    assert counts["stable", "calls"] == 18
    assert counts["new", "failed"] == 4
    node = NodeRollouts(ManualClock(), Random(1))
    view = to_view(machine.rollouts.records["frame"])
    node.accept(RolloutExposure(0, 0, (view,)))
    values = {s.name: s.value for s in collect_node_rollouts(node)}
    assert values["rollout_state"] == 1
    assert values["rollout_confirmed"] == 0


def test_rejections_show_who_was_turned_away_and_why():
    """Guard against a burst whose victims cannot be told."""
    samples = list(_collect_rejections({(SlotRefusal.TOO_LATE, 1, 2): 7}))
    assert [sample.value for sample in samples] == [7]
    assert samples[0].labels == {
        "reason": "too_late",
        "tenant_priority": "1",
        "rank": "2",
    }

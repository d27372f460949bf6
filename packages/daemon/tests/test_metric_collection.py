"""Samples of routes in the metrics of a node."""

from rhubarbhollow_calls.io_counters import RouteCounters
from rhubarbhollow_calls.slot_admission import SlotRefusal
from rhubarbhollow_daemon.metric_collection import (
    _collect_rejections,
    _collect_route_metrics,
    _collect_voter_metrics,
)
from rhubarbhollow_daemon.metrics import Metrics
from rhubarbhollow_replication.member import MemberRole
from rhubarbhollow_replication.role import Role
from rhubarbhollow_replication.status import MemberStatus, ReplicaStatus


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


def test_rejections_show_who_was_turned_away_and_why():
    """Guard against a burst whose victims cannot be told."""
    samples = list(_collect_rejections({(SlotRefusal.TOO_LATE, 1, 2): 7}))
    assert [sample.value for sample in samples] == [7]
    assert samples[0].labels == {
        "reason": "too_late",
        "tenant_priority": "1",
        "rank": "2",
    }

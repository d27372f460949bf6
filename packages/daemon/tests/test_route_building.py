"""Conversion of a release into the routes of the call path."""

from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_daemon.route_building import (
    build_snapshot,
    find_latency_objectives,
)
from rhubarbhollow_distribution.held_release import HeldRelease
from rhubarbhollow_release.manifest import Manifest
from rhubarbhollow_release.objectives import Objectives
from rhubarbhollow_release.priority import Priority
from rhubarbhollow_release.resource_set import split_manifest
from rhubarbhollow_release.retry_policy import RetryPolicy
from rhubarbhollow_release.route import Route
from rhubarbhollow_release.service import Service

MANIFEST = Manifest(
    1,
    "mesh",
    3,
    (
        Service("archive"),
        Service("bench", fallback="copy", objectives=Objectives(0.9, 50, 0.9)),
        Service("copy", fallback="archive"),
    ),
    (
        Route("histories", "*", "/h", "copy", 9000, None, Priority.BULK),
        Route("lookups", "*", "/l", "bench", 500, "quick", is_idempotent=True),
    ),
    (RetryPolicy("quick", 3, 0.1),),
)


def held_release():
    resources = split_manifest(MANIFEST)
    return HeldRelease(5, 3, resources.digest, resources, MANIFEST)


def test_routes_have_their_retry_policy_and_fallback_chain():
    """Guard against routes that lose settings of the manifest."""
    snapshot = build_snapshot(held_release())
    lookups = snapshot.route_table.match(b"any", b"/l/1")
    histories = snapshot.route_table.match(b"any", b"/h")
    assert snapshot.position == 5
    assert lookups.fallbacks == ("copy", "archive")
    assert (lookups.attempts, lookups.budget_ratio) == (3, 0.1)
    assert histories.fallbacks == ("archive",)
    assert (histories.attempts, histories.is_idempotent) == (1, False)
    assert histories.priority is CallPriority.BULK


def test_only_services_with_a_latency_objective_can_be_late():
    """Guard against late answers of services without an objective."""
    assert find_latency_objectives(held_release()) == {"bench": 0.05}

"""Conversion of a release into the routes of the call path."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_daemon.route_building import (
    SnapshotBuilder,
    find_latency_objectives,
)
from rhubarbhollow_distribution.held_release import HeldRelease
from rhubarbhollow_release.closure import is_closed
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
    snapshot = SnapshotBuilder().build(held_release())
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


def release_of(manifest, position):
    resources = split_manifest(manifest)
    return HeldRelease(
        position, manifest.version, resources.digest, resources, manifest
    )


def test_snapshots_of_changes_equal_those_of_whole_releases():
    """Guard against routes that keep settings of an earlier release."""
    lookups, histories = MANIFEST.routes[1], MANIFEST.routes[0]
    slower = replace(MANIFEST.retry_policies[0], attempts=1)
    cut = Service("copy", fallback=None)
    steps = (
        MANIFEST,
        replace(MANIFEST, routes=(histories,)),
        replace(MANIFEST, routes=(histories, lookups)),
        replace(MANIFEST, routes=(replace(histories, prefix="/x"), lookups)),
        replace(MANIFEST, retry_policies=(slower,)),
        replace(
            MANIFEST,
            services=(MANIFEST.services[0], MANIFEST.services[1], cut),
        ),
        replace(MANIFEST, routes=()),
        MANIFEST,
    )
    builder = SnapshotBuilder()
    for position, manifest in enumerate(steps, 1):
        release = release_of(manifest, position)
        table = builder.build(release).route_table
        whole = SnapshotBuilder().build(release).route_table
        assert table.position == position
        assert set(table.routes) == set(whole.routes)
        for path in (b"/h", b"/l", b"/x"):
            assert table.match(b"any", path) == whole.match(b"any", path)


ROUTES = st.lists(
    st.builds(
        Route,
        st.sampled_from(["r1", "r2", "r3", "r4"]),
        st.sampled_from(["*", "a", "a:80", "a:080", "b"]),
        st.sampled_from(["/", "/a", "/a/", "/a//", "/%41/", "/A/"]),
        st.just("bench"),
        st.just(500),
    ),
    max_size=4,
    unique_by=lambda route: route.name,
)


@given(st.lists(ROUTES, min_size=1, max_size=4))
def test_what_the_checks_accept_can_be_put_in_force(steps):
    """Guard against a valid release that ends the process of each node.

    The checks of a manifest and the route table once compared hosts and
    prefixes differently.
    """
    builder = SnapshotBuilder()
    for position, routes in enumerate(steps, 1):
        manifest = replace(MANIFEST, routes=tuple(routes))
        if not is_closed((*manifest.services, *routes)):
            continue
        table = builder.build(release_of(manifest, position)).route_table
        assert {route.name for route in table.routes} == {
            route.name for route in routes
        }


def test_a_change_converts_only_the_routes_that_it_touches():
    """Guard against a cost that grows with the whole release."""
    builder = SnapshotBuilder()
    first = builder.build(release_of(MANIFEST, 1)).route_table
    changed = replace(MANIFEST.routes[0], timeout_ms=1)
    manifest = replace(MANIFEST, routes=(changed, MANIFEST.routes[1]))
    second = builder.build(release_of(manifest, 2)).route_table
    assert second.named("lookups") is first.named("lookups")
    assert second.named("histories").timeout_ms == 1

"""Differential tests of the check of a change against the whole one."""

from hypothesis import example, given
from hypothesis import strategies as st

from rhubarbhollow_release.difference import apply_difference, diff_resources
from rhubarbhollow_release.difference_join import join_difference
from rhubarbhollow_release.manifest import Manifest
from rhubarbhollow_release.note import Note
from rhubarbhollow_release.resource import Resource
from rhubarbhollow_release.resource_kind import ResourceKind
from rhubarbhollow_release.resource_set import (
    ResourceSet,
    join_resources,
    split_manifest,
)
from rhubarbhollow_release.retry_policy import RetryPolicy
from rhubarbhollow_release.route import Route
from rhubarbhollow_release.service import Service
from rhubarbhollow_release.split import Split

NAMES = st.sampled_from("abcd")
SERVICES = st.sampled_from(("s", "t", "gone"))
ROUTES = st.builds(
    Route,
    name=NAMES,
    host=st.sampled_from(("*", "h")),
    prefix=NAMES.map("/{}".format),
    service=SERVICES,
    timeout_ms=st.integers(1, 2),
    retry_policy=st.sampled_from((None, "p", "q")),
    splits=st.lists(st.builds(Split, SERVICES, st.just(1.0)), max_size=1).map(
        tuple
    ),
)


def distinct(items):
    return st.lists(items, max_size=4, unique_by=lambda item: item.name)


MANIFESTS = st.builds(
    Manifest,
    format=st.sampled_from((1, 1, 1, 2)),
    mesh=st.just("lab"),
    version=st.integers(0, 3),
    services=distinct(st.builds(Service, st.sampled_from(("s", "t")))).map(
        tuple
    ),
    routes=distinct(ROUTES).map(tuple),
    retry_policies=st.sampled_from(((), (RetryPolicy("p", 2, 0.1),))),
    notes=distinct(st.builds(Note, NAMES, NAMES)).map(tuple),
)
VALID = Manifest(
    1,
    "lab",
    1,
    (Service("s"), Service("t")),
    tuple(Route(name, "*", f"/{name}", "s", 1) for name in "abcd"),
    (RetryPolicy("p", 2, 0.1),),
    (Note("a", "x"),),
)


def join_change(base, target):
    """Join ``target`` by its difference from the valid ``base``."""
    old = split_manifest(base)
    difference = diff_resources(old, split_manifest(target))
    reached = apply_difference(old, difference).unwrap()
    joined = join_resources(old)
    known = joined.unwrap() if joined.is_ok() else None
    return join_difference(known, difference, reached), reached


@given(MANIFESTS, MANIFESTS)
@example(VALID, VALID)
def test_a_change_is_checked_as_the_whole_is(base, target):
    """Guard against a change that is accepted or refused wrongly."""
    joined, reached = join_change(base, target)
    assert joined == join_resources(reached)


@given(distinct(ROUTES), distinct(st.builds(Note, NAMES, NAMES)))
def test_changes_of_a_valid_manifest_are_checked_as_the_whole_is(
    routes, notes
):
    """Guard against faults that only few random manifests reach."""
    for kept in (VALID.routes, VALID.routes[:2]):
        changed = {route.name: route for route in (*kept, *routes)}
        target = Manifest(
            1,
            "lab",
            2,
            VALID.services,
            tuple(changed.values()),
            VALID.retry_policies,
            tuple(notes),
        )
        joined, reached = join_change(VALID, target)
        assert joined == join_resources(reached)


def test_a_body_under_another_name_is_refused():
    """Guard against a resource that replaces one it does not name."""
    base = split_manifest(VALID)
    stray = Resource(ResourceKind.ROUTE, "e", base.resources[-3].body)
    target = ResourceSet(
        base.header,
        tuple(sorted((*base.resources, stray), key=lambda each: each.key)),
    )
    difference = diff_resources(base, target)
    assert join_difference(VALID, difference, target).is_err()


def test_a_change_decodes_only_what_it_touches():
    """Guard against a cost that grows with the whole release."""
    routes = tuple(
        Route(f"r{number:04}", "*", f"/{number}", "s", 1)
        for number in range(2_000)
    )
    base = Manifest(1, "lab", 1, (Service("s"),), routes)
    moved = Route("r0007", "*", "/7", "s", 2)
    changed = (*routes[:7], moved, *routes[8:])
    target = Manifest(1, "lab", 2, (Service("s"),), changed)
    old = split_manifest(base)
    difference = diff_resources(old, split_manifest(target))
    reached = apply_difference(old, difference).unwrap()
    manifest = join_difference(base, difference, reached).unwrap()
    assert manifest == target
    decoded = [each for each in reached.resources if "item" in vars(each)]
    assert [each.name for each in decoded] == ["r0007"]

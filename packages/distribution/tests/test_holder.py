"""Verification, staging and activation of releases on a node."""

from __future__ import annotations

from dataclasses import replace

import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
)
from result import Ok
from small_releases import (
    KEY,
    MESH,
    TRUSTED,
    approval_at,
    holder_at,
    resources_at,
    route_at,
    stage_at,
)

from rhubarbhollow_distribution.activation_result import (
    Activated,
    ActivationDigestMismatch,
    AlreadyActive,
    NotStaged,
)
from rhubarbhollow_distribution.holder import (
    MAX_STAGED_RELEASES,
    ReleaseHolder,
)
from rhubarbhollow_distribution.invariant import InvariantViolation
from rhubarbhollow_distribution.position_check import PositionCheck
from rhubarbhollow_distribution.stage_encoding import (
    build_stage,
    encode_compact_approval,
)
from rhubarbhollow_distribution.stage_fault import (
    ApprovalRefused,
    ConflictingDigest,
    DifferenceRefused,
    HeaderMismatch,
    NeedsDifference,
    ReleaseNotClosed,
    StalePosition,
)
from rhubarbhollow_release.approval import sign_approval
from rhubarbhollow_release.approval_codec import encode_approval
from rhubarbhollow_release.difference import EMPTY_DIGEST, diff_resources
from rhubarbhollow_release.difference_codec import encode_difference
from rhubarbhollow_release.manifest import Manifest
from rhubarbhollow_release.resource_set import split_manifest
from rhubarbhollow_wire.clock import ManualClock

UNTRUSTED_KEY = Ed25519PrivateKey.from_private_bytes(bytes([1]) * 32)
CURRENT, ACTIVATED, BEHIND = PositionCheck


def digest_at(position):
    return resources_at(position).digest


def signed_stage(manifest, position=9):
    """Return a signed stage of content that validation would reject."""
    target = split_manifest(manifest)
    approval = sign_approval(KEY, MESH, manifest.version, target.digest)
    return build_stage(position, approval, target, None)


def with_approval(approval, *, is_compact=False):
    encode = encode_compact_approval if is_compact else encode_approval
    return replace(VALID, approval_document=encode(approval))


def whole_difference(position):
    """Encode a whole release with both digests as its prefix."""
    return encode_difference(diff_resources(None, resources_at(position)))


INCOMPLETE_MANIFEST = Manifest(1, MESH, 9, (), (route_at(9, "absent"),))
OTHER_MESH = Manifest(1, "other", 9)
VALID = stage_at(9)


@pytest.mark.parametrize(
    ("message", "fault"),
    [
        (replace(VALID, approval_document=b"{}"), ApprovalRefused),
        (with_approval(approval_at(8)), ApprovalRefused),
        (with_approval(approval_at(8), is_compact=True), ApprovalRefused),
        (with_approval(approval_at(9, mesh="other")), ApprovalRefused),
        (with_approval(approval_at(9, key=UNTRUSTED_KEY)), ApprovalRefused),
        (
            with_approval(approval_at(9, key=UNTRUSTED_KEY), is_compact=True),
            ApprovalRefused,
        ),
        (replace(VALID, version=10), ApprovalRefused),
        (replace(VALID, digest=digest_at(8)), ApprovalRefused),
        (replace(VALID, difference=b""), DifferenceRefused),
        (replace(VALID, difference=VALID.difference[:-1]), DifferenceRefused),
        (
            replace(VALID, difference=stage_at(9, 8).difference),
            DifferenceRefused,
        ),
        (replace(VALID, difference=stage_at(8).difference), DifferenceRefused),
        (
            replace(VALID, difference=whole_difference(8)),
            DifferenceRefused,
        ),
        (signed_stage(INCOMPLETE_MANIFEST), ReleaseNotClosed),
        (signed_stage(OTHER_MESH), HeaderMismatch),
        (stage_at(9, 8), NeedsDifference),
        (stage_at(6), StalePosition),
        (stage_at(7, 0, "service-1"), ConflictingDigest),
    ],
)
def test_refused_stage_changes_nothing(message, fault):
    holder = holder_at(ManualClock(), 7, active=7)
    outcome = holder.stage(message)
    assert isinstance(outcome.unwrap_err(), fault)
    assert holder.active_position == 7
    assert holder.staged_positions == ()
    view = holder.explain()
    assert (view.refused_count, view.last_refusal) == (1, fault.__name__)
    assert isinstance(holder.stage(VALID), Ok)


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"base_digest": EMPTY_DIGEST},
        {"difference": whole_difference(3)},
        {"approval_document": encode_approval(approval_at(3))},
    ],
)
def test_compact_and_self_contained_forms_are_read(changes):
    holder = holder_at(ManualClock())
    message = replace(stage_at(3), **changes)
    assert holder.stage(message).unwrap().position == 3


def test_missing_base_error_names_the_held_digest():
    holder = holder_at(ManualClock(), 7, 8, active=7)
    fault = holder.stage(stage_at(10, 9)).unwrap_err()
    assert fault == NeedsDifference(8, digest_at(8))
    assert holder.stage(stage_at(10, fault.held_position)).unwrap()


def test_difference_may_use_the_active_or_any_staged_base():
    holder = holder_at(ManualClock(), 5, 6, active=5)
    for position, base in ((7, 5), (8, 6), (9, 8)):
        report = holder.stage(stage_at(position, base)).unwrap()
        assert report.digest == digest_at(position)
        assert holder.stage(stage_at(position, base)).unwrap() == report
    assert holder.staged_positions == (6, 7, 8, 9)
    assert holder.held_digest == digest_at(9)


def test_staged_releases_are_bounded_and_the_newest_are_kept():
    """Guard against a node whose releases grow without bound."""
    positions = range(1, MAX_STAGED_RELEASES + 1)
    holder = holder_at(ManualClock(), *positions)
    assert holder.stage(stage_at(90)).unwrap().position == 90
    assert holder.staged_positions == (*positions[1:], 90)
    fault = holder.activate(1, digest_at(1)).unwrap_err()
    assert fault == NotStaged(1, 90, digest_at(90))
    holder.stage(stage_at(1, 90)).unwrap()
    assert holder.activate(1, digest_at(1)).unwrap() == Activated(1, 0)
    assert holder.staged_positions == tuple(positions[1:])


def test_a_release_in_force_is_staged_although_older_ones_fill_the_node():
    """Guard against a node that stays at an old release for good.

    While it was frozen the others went on, so none of the releases that
    it holds will be activated any more.
    """
    staged = range(7, 7 + MAX_STAGED_RELEASES)
    holder = holder_at(ManualClock(), 6, active=6)
    for position in staged:
        holder.stage(stage_at(position)).unwrap()
    assert holder.stage(stage_at(30)).unwrap().position == 30
    assert holder.activate(30, digest_at(30)).unwrap() == Activated(30, 6)
    assert holder.staged_positions == ()


@pytest.mark.parametrize(
    ("staged", "discarded"),
    [
        (range(20, 20 + MAX_STAGED_RELEASES), 19 + MAX_STAGED_RELEASES),
        ((11, *range(20, 19 + MAX_STAGED_RELEASES)), 11),
    ],
)
def test_a_release_in_force_is_staged_although_newer_ones_fill_the_node(
    staged, discarded
):
    """Guard against a node that stays at an old release for good.

    While it was frozen the others went on, so it holds only releases
    above the one that is in force.
    """
    holder = holder_at(ManualClock(), 6, active=6)
    for position in staged:
        holder.stage(stage_at(position)).unwrap()
    assert holder.stage(stage_at(15)).unwrap().position == 15
    assert len(holder.staged_positions) == MAX_STAGED_RELEASES
    assert discarded not in holder.staged_positions
    assert holder.activate(15, digest_at(15)).unwrap() == Activated(15, 6)
    assert holder.active_position == 15


@pytest.mark.parametrize(
    ("position", "content", "expected"),
    [
        (5, 5, AlreadyActive(6)),
        (6, 6, AlreadyActive(6)),
        (6, 7, ActivationDigestMismatch),
        (7, 7, Activated(7, 6)),
        (7, 8, ActivationDigestMismatch),
        (8, 8, NotStaged(8, 9, digest_at(9))),
        (9, 9, Activated(9, 6)),
    ],
)
def test_activation(position, content, expected):
    clock = ManualClock()
    holder = holder_at(clock, 6, 7, 9, active=6)
    outcome = holder.activate(position, digest_at(content))
    value = outcome.ok() or outcome.err()
    assert value == expected or type(value) is expected
    active = max(6, position) if isinstance(value, Activated) else 6
    assert holder.active_position == active
    assert holder.active.manifest.version == active
    assert holder.staged_positions == tuple(p for p in (7, 9) if p > active)
    clock.advance(2)
    assert holder.explain().active_since_seconds == 2


def test_call_activates_a_staged_release():
    holder = holder_at(ManualClock(), 6, 7, 9, active=6)
    snapshot = holder.active
    checks = [holder.observe_position(p) for p in (5, 6, 8, 7, 8, 10, 9, 7)]
    assert checks == [
        *(CURRENT, CURRENT, BEHIND, ACTIVATED),
        *(BEHIND, BEHIND, ACTIVATED, CURRENT),
    ]
    assert (snapshot.position, holder.active_position) == (6, 9)
    assert holder.floor == 9


def test_call_does_not_start_a_node_without_a_release():
    """Before a restart the node may have applied a higher position."""
    holder = holder_at(ManualClock(), 8)
    assert holder.observe_position(8) is BEHIND
    assert holder.active is None
    assert holder.active_digest == EMPTY_DIGEST


def test_lower_position_violates_an_invariant():
    holder = holder_at(ManualClock(), 6, 7, active=6)
    lower = holder.active
    holder.observe_position(7)
    with pytest.raises(InvariantViolation):
        holder._swap(lower)
    with pytest.raises(InvariantViolation):
        holder._store(lower)


def test_rollback_uses_old_content_at_a_higher_position():
    clock = ManualClock()
    holder = ReleaseHolder(MESH, TRUSTED, clock)
    for position in (1, 2):
        holder.stage(stage_at(position)).unwrap()
        holder.activate(position, digest_at(position)).unwrap()
    old = Manifest(1, MESH, 3, *_parts_of(resources_at(1)))
    rollback = signed_stage(old, position=3)
    holder.stage(rollback).unwrap()
    holder.activate(3, rollback.digest).unwrap()
    assert holder.active.manifest.routes[0].prefix == "/1"
    assert holder.observe_position(2) is CURRENT


def _parts_of(resources):
    items = [resource.item.unwrap() for resource in resources.resources]
    routes = tuple(item for item in items if item.name == "route")
    return tuple(item for item in items if item not in routes), routes

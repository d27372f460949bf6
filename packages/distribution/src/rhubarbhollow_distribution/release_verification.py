"""Decoding and verification of a release on a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from rhubarbhollow_distribution.held_release import HeldRelease
from rhubarbhollow_distribution.stage_encoding import (
    read_approval,
    read_difference,
)
from rhubarbhollow_distribution.stage_fault import (
    ApprovalRefused,
    DifferenceRefused,
    HeaderMismatch,
    ReleaseNotClosed,
    StageFault,
)
from rhubarbhollow_release.approval import verify_approval
from rhubarbhollow_release.difference import apply_difference
from rhubarbhollow_release.resource_set import ResourceSet, join_resources

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rhubarbhollow_distribution.stage import Stage
    from rhubarbhollow_release.trust import TrustAnchor


def verify_release(
    message: Stage,
    base: HeldRelease | None,
    mesh: str,
    trusted: Mapping[str, TrustAnchor],
) -> Result[HeldRelease, StageFault]:
    """Return the fully verified release that ``message`` carries.

    The approval is verified first, so that nothing is decompressed
    unless a trusted key or channel has approved it for this mesh and
    version.
    """
    approved = _check_approval(message, mesh, trusted)
    if isinstance(approved, Err):
        return approved
    built = _build_resources(message, base)
    if isinstance(built, Err):
        return built
    return _check_resources(message, mesh, built.ok_value)


def _check_approval(
    message: Stage,
    mesh: str,
    trusted: Mapping[str, TrustAnchor],
) -> Result[None, StageFault]:
    approval = read_approval(message, mesh)
    if isinstance(approval, Err):
        return Err(ApprovalRefused(message.position, approval.err_value))
    verified = verify_approval(
        approval.ok_value,
        mesh=mesh,
        version=message.version,
        digest=message.digest,
        trusted=trusted,
    )
    if isinstance(verified, Err):
        return Err(ApprovalRefused(message.position, verified.err_value))
    return Ok(None)


def _build_resources(
    message: Stage,
    base: HeldRelease | None,
) -> Result[ResourceSet, StageFault]:
    difference = read_difference(message)
    if isinstance(difference, Err):
        return Err(DifferenceRefused(message.position, difference.err_value))
    resources = base.resources if base else None
    applied = apply_difference(resources, difference.ok_value)
    if isinstance(applied, Err):
        return Err(DifferenceRefused(message.position, applied.err_value))
    return applied


def _check_resources(
    message: Stage,
    mesh: str,
    resources: ResourceSet,
) -> Result[HeldRelease, StageFault]:
    header = resources.header
    # The approval covers the digest in the message, so the content must
    # match that digest.
    if (resources.digest, header.mesh, header.version) != (
        message.digest,
        mesh,
        message.version,
    ):
        return Err(
            HeaderMismatch(message.position, header.mesh, header.version)
        )
    manifest = join_resources(resources)
    if isinstance(manifest, Err):
        return Err(ReleaseNotClosed(message.position, manifest.err_value))
    return Ok(
        HeldRelease(
            position=message.position,
            version=message.version,
            digest=message.digest,
            resources=resources,
            manifest=manifest.ok_value,
        )
    )

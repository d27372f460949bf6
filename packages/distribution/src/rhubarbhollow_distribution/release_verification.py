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
from rhubarbhollow_release.difference_join import join_difference

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rhubarbhollow_distribution.stage import Stage
    from rhubarbhollow_release.resource_set import ResourceSet
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
    difference = read_difference(message)
    if isinstance(difference, Err):
        return Err(DifferenceRefused(message.position, difference.err_value))
    change = difference.ok_value
    applied = apply_difference(base.resources if base else None, change)
    if isinstance(applied, Err):
        return Err(DifferenceRefused(message.position, applied.err_value))
    resources = applied.ok_value
    fault = _find_header_fault(message, mesh, resources)
    if fault is not None:
        return Err(fault)
    manifest = join_difference(
        base.manifest if base else None, change, resources
    )
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


def _find_header_fault(
    message: Stage,
    mesh: str,
    resources: ResourceSet,
) -> HeaderMismatch | None:
    header = resources.header
    # The approval covers the digest in the message, so the content must
    # match that digest.
    if (resources.digest, header.mesh, header.version) == (
        message.digest,
        mesh,
        message.version,
    ):
        return None
    return HeaderMismatch(message.position, header.mesh, header.version)

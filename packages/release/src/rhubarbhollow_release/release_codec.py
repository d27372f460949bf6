"""The bytes of kept releases within a snapshot.

The first release is a difference from nothing, each other one from the
release before it.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, TypeAlias

from result import Err, Ok, Result

from rhubarbhollow_release.approval_codec import (
    decode_approval,
    encode_approval,
)
from rhubarbhollow_release.approval_fault import ApprovalFault
from rhubarbhollow_release.difference import apply_difference
from rhubarbhollow_release.difference_codec import decode_difference
from rhubarbhollow_release.difference_fault import DifferenceFault
from rhubarbhollow_release.kept_release import KeptRelease
from rhubarbhollow_release.release import Release

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_release.resource_set import ResourceSet

_SIZES: Final = struct.Struct(">QHI")


@dataclass(frozen=True, slots=True)
class CutShort:
    """Say that the bytes end within the release that starts here."""

    offset: int


ReleasesFault: TypeAlias = CutShort | ApprovalFault | DifferenceFault


def encode_releases(releases: Iterable[KeptRelease]) -> bytes:
    """Join the bytes of successive releases."""
    parts: list[bytes] = []
    for kept in releases:
        approval = encode_approval(kept.release.approval)
        change = kept.change if parts else kept.whole
        position = kept.release.position
        sizes = _SIZES.pack(position, len(approval), len(change))
        parts.extend((sizes, approval, change))
    return b"".join(parts)


def decode_releases(
    data: bytes,
) -> Result[
    tuple[KeptRelease, ...], CutShort | ApprovalFault | DifferenceFault
]:
    """Read successive releases; rebuild and check their content."""
    releases: list[KeptRelease] = []
    base: ResourceSet | None = None
    offset = 0
    while offset < len(data):
        start = offset + _SIZES.size
        if start > len(data):
            return Err(CutShort(offset))
        position, approval_size, size = _SIZES.unpack(data[offset:start])
        middle = start + approval_size
        offset = middle + size
        release = _decode_release(
            position,
            data[start:middle],
            data[middle:offset],
            base,
        )
        if isinstance(release, Err):
            return release
        releases.append(release.ok_value)
        base = release.ok_value.release.resources
    return Ok(tuple(releases))


def _decode_release(
    position: int,
    approval_document: bytes,
    change: bytes,
    base: ResourceSet | None,
) -> Result[KeptRelease, ApprovalFault | DifferenceFault]:
    approval = decode_approval(approval_document)
    if isinstance(approval, Err):
        return approval
    difference = decode_difference(change)
    if isinstance(difference, Err):
        return difference
    resources = apply_difference(base, difference.ok_value)
    if isinstance(resources, Err):
        return resources
    release = Release(position, resources.ok_value, approval.ok_value)
    return Ok(KeptRelease(release, change))

"""Binary encoding of the retained releases within a snapshot.

The first release is encoded as a difference from an empty resource set,
every other one as a difference from the release before it.
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
from rhubarbhollow_release.release import Release
from rhubarbhollow_release.retained_release import RetainedRelease

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_release.resource_set import ResourceSet

# Position, size of the approval, size of the difference.
_HEADER: Final = struct.Struct(">QHI")


@dataclass(frozen=True, slots=True)
class TruncatedRelease:
    """Report that the data ends within the release at ``offset``."""

    offset: int


ReleasesFault: TypeAlias = TruncatedRelease | ApprovalFault | DifferenceFault


def encode_releases(releases: Iterable[RetainedRelease]) -> bytes:
    """Encode successive releases one after another."""
    parts: list[bytes] = []
    for retained in releases:
        approval = encode_approval(retained.release.approval)
        difference = retained.difference if parts else retained.full_difference
        position = retained.release.position
        header = _HEADER.pack(position, len(approval), len(difference))
        parts.extend((header, approval, difference))
    return b"".join(parts)


def decode_releases(
    data: bytes,
) -> Result[
    tuple[RetainedRelease, ...],
    TruncatedRelease | ApprovalFault | DifferenceFault,
]:
    """Decode successive releases and rebuild their resource sets.

    Applying each difference checks the digests of the content.
    """
    releases: list[RetainedRelease] = []
    base: ResourceSet | None = None
    offset = 0
    while offset < len(data):
        start = offset + _HEADER.size
        if start > len(data):
            return Err(TruncatedRelease(offset))
        position, approval_size, difference_size = _HEADER.unpack(
            data[offset:start]
        )
        approval_end = start + approval_size
        offset = approval_end + difference_size
        release = _decode_release(
            position,
            data[start:approval_end],
            data[approval_end:offset],
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
    encoded_difference: bytes,
    base: ResourceSet | None,
) -> Result[RetainedRelease, ApprovalFault | DifferenceFault]:
    approval = decode_approval(approval_document)
    if isinstance(approval, Err):
        return approval
    difference = decode_difference(encoded_difference)
    if isinstance(difference, Err):
        return difference
    resources = apply_difference(base, difference.ok_value)
    if isinstance(resources, Err):
        return resources
    release = Release(position, resources.ok_value, approval.ok_value)
    return Ok(RetainedRelease(release, encoded_difference))

"""Differences between resource sets: computation and application."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass
from operator import attrgetter
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from rhubarbhollow_release.canonical import DIGEST_BYTES
from rhubarbhollow_release.difference_fault import (
    DifferenceFault,
    DifferenceFaultKind,
)
from rhubarbhollow_release.resource_set import ResourceSet

if TYPE_CHECKING:
    from rhubarbhollow_release.manifest_header import ManifestHeader
    from rhubarbhollow_release.resource import Resource
    from rhubarbhollow_release.resource_key import ResourceKey

# Base digest of a difference that applies where no release exists yet.
EMPTY_DIGEST: Final = bytes(DIGEST_BYTES)

_key_of: Final = attrgetter("key")


@dataclass(frozen=True, slots=True)
class Difference:
    """Describe the changes from a base to a target resource set.

    ``removed`` and ``upserts`` are sorted by key and share no key.
    ``header`` is the target's.
    """

    base_digest: bytes
    target_digest: bytes
    header: ManifestHeader
    removed: tuple[ResourceKey, ...] = ()
    upserts: tuple[Resource, ...] = ()


def diff_resources(
    base: ResourceSet | None,
    target: ResourceSet,
) -> Difference:
    """Compute the difference from ``base`` to ``target``.

    A ``base`` of ``None`` stands for an empty resource set.
    """
    old = base.resources if base else ()
    unmatched = {resource.key: resource.body for resource in old}
    upserts = tuple(
        resource
        for resource in target.resources
        if unmatched.pop(resource.key, None) != resource.body
    )
    # The keys of the target were popped, so those that remain were
    # removed.
    return Difference(
        base_digest=base.digest if base else EMPTY_DIGEST,
        target_digest=target.digest,
        header=target.header,
        removed=tuple(unmatched),
        upserts=upserts,
    )


def apply_difference(
    base: ResourceSet | None,
    difference: Difference,
) -> Result[ResourceSet, DifferenceFault]:
    """Apply a difference to its base and check the target's digest.

    ``base`` itself is not modified.
    """
    base_digest = base.digest if base else EMPTY_DIGEST
    if base_digest != difference.base_digest:
        return _fault(DifferenceFaultKind.BASE_MISMATCH, base_digest.hex())
    resources = list(base.resources) if base else []
    for key in difference.removed:
        index = bisect_left(resources, key, key=_key_of)
        if not _has_key(resources, index, key):
            return _fault(DifferenceFaultKind.MISSING_REMOVAL, str(key))
        del resources[index]
    for resource in difference.upserts:
        _upsert(resources, resource)
    target = ResourceSet(difference.header, tuple(resources))
    if target.digest != difference.target_digest:
        return _fault(DifferenceFaultKind.TARGET_MISMATCH, target.digest.hex())
    return Ok(target)


def _upsert(resources: list[Resource], resource: Resource) -> None:
    index = bisect_left(resources, resource.key, key=_key_of)
    if _has_key(resources, index, resource.key):
        resources[index] = resource
    else:
        resources.insert(index, resource)


def _has_key(resources: list[Resource], index: int, key: ResourceKey) -> bool:
    return index < len(resources) and resources[index].key == key


def _fault(
    kind: DifferenceFaultKind,
    detail: str,
) -> Err[DifferenceFault]:
    return Err(DifferenceFault(kind, detail))

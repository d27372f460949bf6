"""The net change from one resource set to another."""

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

# stands for the digest of a holder that has no release yet
EMPTY_DIGEST: Final = bytes(DIGEST_BYTES)

_key_of: Final = attrgetter("key")


@dataclass(frozen=True, slots=True)
class Difference:
    """Name a base and a target and hold what tells them apart.

    ``removed`` and ``upserts`` are sorted by key and share no key.
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
    """Return the change that leads from ``base`` to ``target``."""
    old = base.resources if base else ()
    held = {resource.key: resource.body for resource in old}
    upserts = tuple(
        resource
        for resource in target.resources
        if held.pop(resource.key, None) != resource.body
    )
    # upserts of held resources have left ``held``, so the rest is gone
    return Difference(
        base_digest=base.digest if base else EMPTY_DIGEST,
        target_digest=target.digest,
        header=target.header,
        removed=tuple(held),
        upserts=upserts,
    )


def apply_difference(
    base: ResourceSet | None,
    difference: Difference,
) -> Result[ResourceSet, DifferenceFault]:
    """Return the target, or a fault when any part does not fit."""
    base_digest = base.digest if base else EMPTY_DIGEST
    if base_digest != difference.base_digest:
        return _fault(DifferenceFaultKind.BASE_MISMATCH, base_digest.hex())
    resources = list(base.resources) if base else []
    for key in difference.removed:
        index = bisect_left(resources, key, key=_key_of)
        if not _holds(resources, index, key):
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
    if _holds(resources, index, resource.key):
        resources[index] = resource
    else:
        resources.insert(index, resource)


def _holds(resources: list[Resource], index: int, key: ResourceKey) -> bool:
    return index < len(resources) and resources[index].key == key


def _fault(
    kind: DifferenceFaultKind,
    detail: str,
) -> Err[DifferenceFault]:
    return Err(DifferenceFault(kind, detail))

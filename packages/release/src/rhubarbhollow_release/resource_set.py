"""Resource sets: manifests as sorted, encoded resources."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass
from functools import cached_property
from itertools import chain
from operator import attrgetter
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from rhubarbhollow_release.assembly import assemble_manifest
from rhubarbhollow_release.canonical import (
    SECTIONS,
    digest_of_bodies,
    join_bodies,
)
from rhubarbhollow_release.closure import closure_of, is_closed
from rhubarbhollow_release.manifest import MANIFEST_FORMAT, Manifest
from rhubarbhollow_release.manifest_fault import (
    FaultKind,
    ManifestFault,
    ManifestFaults,
    limit_faults,
)
from rhubarbhollow_release.resource import Resource, resource_of
from rhubarbhollow_release.resource_kind import ResourceKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from rhubarbhollow_release.codec import Item
    from rhubarbhollow_release.manifest_header import ManifestHeader

_kind_of: Final = attrgetter("kind")
_body_of: Final = attrgetter("body")


@dataclass(frozen=True)
class ResourceSet:
    """Store a header and its resources, sorted by key, all distinct."""

    header: ManifestHeader
    resources: tuple[Resource, ...] = ()

    @cached_property
    def digest(self) -> bytes:
        """Return the SHA-256 of the canonical bytes, 32 bytes."""
        return digest_of_bodies(self.header, self._bodies())

    def canonical(self) -> bytes:
        """Build the canonical bytes of the manifest from the bodies."""
        return join_bodies(self.header, self._bodies())

    def _bodies(self) -> Mapping[ResourceKind, Sequence[bytes]]:
        starts = [
            bisect_left(self.resources, kind, key=_kind_of)
            for kind in ResourceKind
        ]
        ends = (*starts[1:], len(self.resources))
        return {
            kind: list(map(_body_of, self.resources[start:end]))
            for kind, start, end in zip(
                ResourceKind, starts, ends, strict=True
            )
        }


def split_manifest(manifest: Manifest) -> ResourceSet:
    """Encode the resources of a manifest."""
    items: tuple[Item, ...] = (
        *manifest.notes,
        *manifest.retry_policies,
        *manifest.routes,
        *manifest.services,
        *manifest.tenants,
    )
    resources = sorted(map(resource_of, items), key=lambda each: each.key)
    return ResourceSet(manifest.header, tuple(resources))


def join_resources(resources: ResourceSet) -> Result[Manifest, ManifestFaults]:
    """Decode a resource set and check the references in it.

    Nodes call this before they apply a release, so it does not use the
    JSON Schema library.
    """
    header = resources.header
    items: list[Item] = []
    faults = list(_check_header(header))
    for resource in resources.resources:
        match resource.item:
            case Ok(item):
                faults.extend(_check_name(resource, item))
                items.append(item)
            case Err(found):
                faults.extend(_relocate(resource, found))
    if faults or not is_closed(items):
        all_faults = chain(faults, closure_of(items).find_faults())
        return Err(ManifestFaults(limit_faults(all_faults)))
    return Ok(assemble_manifest(header, items))


def _check_header(header: ManifestHeader) -> Iterable[ManifestFault]:
    if header.format != MANIFEST_FORMAT:
        yield ManifestFault(
            "/format",
            FaultKind.BAD_VALUE,
            f"{header.format} is not a known format",
        )
    if header.version < 1:
        yield ManifestFault("/version", FaultKind.OUT_OF_RANGE, "is below 1")


def _check_name(resource: Resource, item: Item) -> Iterable[ManifestFault]:
    if item.name != resource.name:
        yield ManifestFault(
            f"{_path_of(resource)}/name",
            FaultKind.BAD_VALUE,
            f"body has the name {item.name}",
        )


def _relocate(
    resource: Resource,
    found: ManifestFaults,
) -> Iterable[ManifestFault]:
    """Prefix the paths of a body's faults with the resource's path."""
    for fault in found.faults:
        path = _path_of(resource) + fault.path
        yield ManifestFault(path, fault.kind, fault.detail)


def _path_of(resource: Resource) -> str:
    return f"/{SECTIONS[resource.kind]}/{resource.name}"

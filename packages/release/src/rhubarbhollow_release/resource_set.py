"""All resources of one version of a mesh's configuration."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from itertools import chain
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from rhubarbhollow_release.assembly import assemble_manifest
from rhubarbhollow_release.canonical import (
    SECTIONS,
    digest_of,
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
    from collections.abc import Iterable

    from rhubarbhollow_release.codec import Item
    from rhubarbhollow_release.manifest_header import ManifestHeader


@dataclass(frozen=True)
class ResourceSet:
    """Hold a header and resources sorted by key, without duplicates."""

    header: ManifestHeader
    resources: tuple[Resource, ...] = ()

    @cached_property
    def digest(self) -> bytes:
        """Return the SHA-256 of the canonical bytes, 32 bytes."""
        return digest_of(self.canonical())

    def canonical(self) -> bytes:
        """Return the canonical bytes of the manifest, by a join."""
        bodies: dict[ResourceKind, list[bytes]] = {
            kind: [] for kind in ResourceKind
        }
        for resource in self.resources:
            bodies[resource.kind].append(resource.body)
        return join_bodies(self.header, bodies)


def split_manifest(manifest: Manifest) -> ResourceSet:
    """Split a manifest into its resources."""
    items: tuple[Item, ...] = (
        *manifest.notes,
        *manifest.retry_policies,
        *manifest.routes,
        *manifest.services,
    )
    resources = sorted(map(resource_of, items), key=lambda each: each.key)
    return ResourceSet(manifest.header, tuple(resources))


def join_resources(resources: ResourceSet) -> Result[Manifest, ManifestFaults]:
    """Decode a resource set and check that it is closed.

    Nodes call this on what they hold before they apply it, so it does
    without the schema library.
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
                faults.extend(_at_resource(resource, found))
    if faults or not is_closed(items):
        every = chain(faults, closure_of(items).find_faults())
        return Err(ManifestFaults(limit_faults(every)))
    return Ok(assemble_manifest(header, items))


def _check_header(header: ManifestHeader) -> Iterable[ManifestFault]:
    if header.format != MANIFEST_FORMAT:
        yield ManifestFault(
            "/format",
            FaultKind.BAD_VALUE,
            f"{header.format} is not known",
        )
    if header.version < 1:
        yield ManifestFault("/version", FaultKind.OUT_OF_RANGE, "below 1")


def _check_name(resource: Resource, item: Item) -> Iterable[ManifestFault]:
    if item.name != resource.name:
        yield ManifestFault(
            f"{_path_of(resource)}/name",
            FaultKind.BAD_VALUE,
            f"body is of {item.name}",
        )


def _at_resource(
    resource: Resource,
    found: ManifestFaults,
) -> Iterable[ManifestFault]:
    for fault in found.faults:
        path = _path_of(resource) + fault.path
        yield ManifestFault(path, fault.kind, fault.detail)


def _path_of(resource: Resource) -> str:
    return f"/{SECTIONS[resource.kind]}/{resource.name}"

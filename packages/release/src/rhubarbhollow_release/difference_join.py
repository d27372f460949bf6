"""Joining of a changed resource set by its difference alone.

A change touches a few of the resources of a large manifest. Their
references are checked against the manifest that they change, whose
other references are known to resolve; ``join_resources`` checks all.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import replace
from operator import attrgetter
from typing import TYPE_CHECKING, Final, TypeVar

from result import Ok, Result

from rhubarbhollow_release.closure import shares_keys
from rhubarbhollow_release.manifest import MANIFEST_FORMAT, Manifest
from rhubarbhollow_release.note import Note
from rhubarbhollow_release.resource_kind import ResourceKind
from rhubarbhollow_release.resource_set import ResourceSet, join_resources
from rhubarbhollow_release.route import Route
from rhubarbhollow_release.tenant_entry import TenantEntry

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from rhubarbhollow_release.codec import Item
    from rhubarbhollow_release.difference import Difference
    from rhubarbhollow_release.manifest_fault import ManifestFaults

_I = TypeVar("_I", Note, Route, TenantEntry)

_name_of: Final = attrgetter("name")
# Other resources can't refer to these kinds.
_UNREFERENCED: Final = frozenset(
    (ResourceKind.NOTE, ResourceKind.ROUTE, ResourceKind.TENANT)
)


def join_difference(
    base: Manifest | None, difference: Difference, target: ResourceSet
) -> Result[Manifest, ManifestFaults]:
    """Decode ``target`` and check the references in it.

    ``base`` is the valid manifest to which ``difference`` was applied,
    or ``None`` if it is not known. The result is that of
    ``join_resources``.
    """
    if base is not None:
        manifest = _maybe_change(base, difference, target)
        if manifest is not None:
            return Ok(manifest)
    return join_resources(target)


def _maybe_change(
    base: Manifest, difference: Difference, target: ResourceSet
) -> Manifest | None:
    """Return the changed manifest, or ``None`` for the full check."""
    header = target.header
    if header.format != MANIFEST_FORMAT or header.version < 1:
        return None
    items = _maybe_decode(difference)
    removed = difference.removed
    if items is None or any(key.kind not in _UNREFERENCED for key in removed):
        return None
    routes = [item for item in items if isinstance(item, Route)]
    changed = _change(
        base.routes,
        [key.name for key in removed if key.kind is ResourceKind.ROUTE],
        routes,
    )
    if not _are_references_closed(base, routes):
        return None
    if not _are_matches_distinct(changed, routes):
        return None
    notes = _change(
        base.notes,
        [key.name for key in removed if key.kind is ResourceKind.NOTE],
        [item for item in items if isinstance(item, Note)],
    )
    tenants = _change(
        base.tenants,
        [key.name for key in removed if key.kind is ResourceKind.TENANT],
        [item for item in items if isinstance(item, TenantEntry)],
    )
    if shares_keys(tenants):
        return None
    return replace(
        base,
        format=header.format,
        mesh=header.mesh,
        version=header.version,
        routes=tuple(changed),
        notes=tuple(notes),
        tenants=tuple(tenants),
        has_empty_tenants=header.has_empty_tenants and not tenants,
    )


def _maybe_decode(difference: Difference) -> list[Item] | None:
    """Return the valid changed items, if nothing can refer to them."""
    items: list[Item] = []
    for resource in difference.upserts:
        if resource.kind not in _UNREFERENCED:
            return None
        decoded = resource.item
        if not isinstance(decoded, Ok):
            return None
        if decoded.ok_value.name != resource.name:
            return None
        items.append(decoded.ok_value)
    return items


def _change(
    items: Sequence[_I], removed: Iterable[str], upserts: Iterable[_I]
) -> list[_I]:
    """Return items sorted by name after removals and upserts."""
    changed = list(items)
    for name in removed:
        del changed[bisect_left(changed, name, key=_name_of)]
    for item in upserts:
        index = bisect_left(changed, item.name, key=_name_of)
        if index < len(changed) and changed[index].name == item.name:
            changed[index] = item
        else:
            changed.insert(index, item)
    return changed


def _are_references_closed(base: Manifest, routes: Sequence[Route]) -> bool:
    services = {service.name for service in base.services}
    policies = {policy.name for policy in base.retry_policies}
    return all(
        route.service in services
        and (route.retry_policy is None or route.retry_policy in policies)
        and all(split.service in services for split in route.splits)
        for route in routes
    )


def _are_matches_distinct(
    routes: Sequence[Route], upserts: Sequence[Route]
) -> bool:
    """Return whether upserted routes share no match with others."""
    matches = {route.match for route in upserts}
    if len(matches) < len(upserts):
        return False
    prefixes = {route.prefix for route in upserts}
    same = sum(
        route.match in matches for route in routes if route.prefix in prefixes
    )
    return same == len(upserts)

"""Construction of a manifest from a header and a list of items."""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING

from rhubarbhollow_release.manifest import Manifest
from rhubarbhollow_release.note import Note
from rhubarbhollow_release.retry_policy import RetryPolicy
from rhubarbhollow_release.route import Route
from rhubarbhollow_release.service import Service
from rhubarbhollow_release.tenant_entry import TenantEntry

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_release.codec import Item
    from rhubarbhollow_release.manifest_header import ManifestHeader


def assemble_manifest(
    header: ManifestHeader,
    items: Iterable[Item],
) -> Manifest:
    """Build a manifest from items, sorted by kind and name."""
    ordered = sorted(items, key=attrgetter("name"))
    tenants = tuple(i for i in ordered if isinstance(i, TenantEntry))
    return Manifest(
        format=header.format,
        mesh=header.mesh,
        version=header.version,
        services=tuple(i for i in ordered if isinstance(i, Service)),
        routes=tuple(i for i in ordered if isinstance(i, Route)),
        notes=tuple(i for i in ordered if isinstance(i, Note)),
        retry_policies=tuple(i for i in ordered if isinstance(i, RetryPolicy)),
        tenants=tenants,
        has_empty_tenants=header.has_empty_tenants and not tenants,
    )

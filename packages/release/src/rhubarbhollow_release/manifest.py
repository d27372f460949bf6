"""Manifests: the complete configuration of a mesh."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from rhubarbhollow_release.manifest_header import ManifestHeader

if TYPE_CHECKING:
    from rhubarbhollow_release.note import Note
    from rhubarbhollow_release.retry_policy import RetryPolicy
    from rhubarbhollow_release.route import Route
    from rhubarbhollow_release.service import Service
    from rhubarbhollow_release.tenant_entry import TenantEntry

MANIFEST_FORMAT: Final = 1


@dataclass(frozen=True, slots=True)
class Manifest:
    """Store all resources of one version of a mesh's configuration.

    Parsing and joining sort the resources of each kind by name, so that
    manifests with equal contents compare equal.

    ``has_empty_tenants`` is set if the manifest lists its tenants and
    there is none.  Then no key is valid, while a manifest without a
    list of tenants asks for no key.
    """

    format: int
    mesh: str
    version: int
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    retry_policies: tuple[RetryPolicy, ...] = ()
    notes: tuple[Note, ...] = ()
    tenants: tuple[TenantEntry, ...] = ()
    has_empty_tenants: bool = False

    @property
    def requires_keys(self) -> bool:
        """Return whether callers need the key of a tenant."""
        return self.has_empty_tenants or bool(self.tenants)

    @property
    def header(self) -> ManifestHeader:
        """Return the fields of the manifest that are not resources."""
        return ManifestHeader(
            self.format, self.mesh, self.version, self.has_empty_tenants
        )

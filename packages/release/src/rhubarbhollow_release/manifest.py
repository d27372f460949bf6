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
    """

    format: int
    mesh: str
    version: int
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    retry_policies: tuple[RetryPolicy, ...] = ()
    notes: tuple[Note, ...] = ()
    tenants: tuple[TenantEntry, ...] = ()

    @property
    def header(self) -> ManifestHeader:
        """Return the fields of the manifest that are not resources."""
        return ManifestHeader(self.format, self.mesh, self.version)

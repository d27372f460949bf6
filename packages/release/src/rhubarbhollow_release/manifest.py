"""The configuration of a whole mesh."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from rhubarbhollow_release.manifest_header import ManifestHeader

if TYPE_CHECKING:
    from rhubarbhollow_release.note import Note
    from rhubarbhollow_release.retry_policy import RetryPolicy
    from rhubarbhollow_release.route import Route
    from rhubarbhollow_release.service import Service

MANIFEST_FORMAT: Final = 1


@dataclass(frozen=True, slots=True)
class Manifest:
    """Hold every resource of one version of a mesh's configuration.

    Parsing and joining sort the resources by name, so that equal
    contents give equal manifests.
    """

    format: int
    mesh: str
    version: int
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    retry_policies: tuple[RetryPolicy, ...] = ()
    notes: tuple[Note, ...] = ()

    @property
    def header(self) -> ManifestHeader:
        """Return the fields that are not resources."""
        return ManifestHeader(self.format, self.mesh, self.version)

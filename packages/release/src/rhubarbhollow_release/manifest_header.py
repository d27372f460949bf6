"""The header of a manifest: format, mesh and version."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ManifestHeader:
    """Store the document format, the mesh's name and the version."""

    format: int
    mesh: str
    version: int

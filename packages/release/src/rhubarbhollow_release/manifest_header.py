"""What a manifest says about itself."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ManifestHeader:
    """Hold the document format, the mesh's name and the version."""

    format: int
    mesh: str
    version: int

"""The header of a manifest: format, mesh and version."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ManifestHeader:
    """Store what a manifest states beside its resources.

    ``has_empty_tenants`` tells a list of tenants without an entry from
    no list at all.
    """

    format: int
    mesh: str
    version: int
    has_empty_tenants: bool = False

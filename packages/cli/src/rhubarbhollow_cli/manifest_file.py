"""Loading of manifests from files."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from rhubarbhollow_cli.files import read_file
from rhubarbhollow_release.canonical import canonical_bytes, digest_of
from rhubarbhollow_release.parsing import parse_manifest

if TYPE_CHECKING:
    from pathlib import Path

    from rhubarbhollow_cli.input_fault import InputFault
    from rhubarbhollow_release.manifest import Manifest
    from rhubarbhollow_release.manifest_fault import ManifestFaults


@dataclass(frozen=True)
class ManifestFile:
    """A manifest and the bytes from which it was parsed."""

    document: bytes
    manifest: Manifest

    @cached_property
    def digest(self) -> bytes:
        """Return the digest that an approval signs."""
        return digest_of(canonical_bytes(self.manifest))

    def summarize(self) -> dict[str, object]:
        """Return the fields that an operator checks for approval."""
        manifest = self.manifest
        return {
            "mesh": manifest.mesh,
            "version": manifest.version,
            "digest": self.digest.hex(),
            "services": len(manifest.services),
            "routes": len(manifest.routes),
            "retry_policies": len(manifest.retry_policies),
            "tenants": len(manifest.tenants),
            "requires_keys": manifest.requires_keys,
        }


def read_manifest(
    path: Path,
) -> Result[ManifestFile, InputFault | ManifestFaults]:
    """Read and parse a manifest file."""
    document = read_file(path)
    if isinstance(document, Err):
        return document
    return load_manifest(document.ok_value)


def load_manifest(
    document: bytes,
) -> Result[ManifestFile, ManifestFaults]:
    """Parse the bytes of a manifest."""
    parsed = parse_manifest(document)
    if isinstance(parsed, Err):
        return parsed
    return Ok(ManifestFile(document, parsed.ok_value))

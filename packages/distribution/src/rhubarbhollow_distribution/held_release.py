"""A complete and verified release on a node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_release.manifest import Manifest
    from rhubarbhollow_release.resource_set import ResourceSet


@dataclass(frozen=True, slots=True)
class HeldRelease:
    """Hold a release whose approval, digest and references are valid.

    A call keeps a reference to the object with which it started, so the
    object must stay immutable.
    """

    position: int
    version: int
    digest: bytes
    resources: ResourceSet
    manifest: Manifest

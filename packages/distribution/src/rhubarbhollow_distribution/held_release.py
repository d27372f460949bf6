"""One release that a node holds whole."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_release.manifest import Manifest
    from rhubarbhollow_release.resource_set import ResourceSet


@dataclass(frozen=True, slots=True)
class HeldRelease:
    """A release whose approval, digest and closure were verified.

    Calls keep the instance on which they began, so nothing in it may
    change.
    """

    position: int
    version: int
    digest: bytes
    resources: ResourceSet
    manifest: Manifest

"""Keys that identify resources within a manifest."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from rhubarbhollow_release.resource_kind import ResourceKind


class ResourceKey(NamedTuple):
    """Identify a resource; keys sort by kind and then by name.

    This is a named tuple rather than a data class because keys are
    compared often when resource sets are sorted and searched.
    """

    kind: ResourceKind
    name: str

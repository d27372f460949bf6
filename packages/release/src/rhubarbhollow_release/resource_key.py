"""The identity of a resource within a manifest."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from rhubarbhollow_release.resource_kind import ResourceKind


class ResourceKey(NamedTuple):
    """Name a resource; keys sort by kind and then by name.

    A named tuple, since sorted sets compare keys often.
    """

    kind: ResourceKind
    name: str

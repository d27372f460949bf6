"""Resources of a manifest in encoded form."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING

from rhubarbhollow_release.codec import decode_item, encode_item, kind_of
from rhubarbhollow_release.resource_key import ResourceKey

if TYPE_CHECKING:
    from result import Result

    from rhubarbhollow_release.codec import Item
    from rhubarbhollow_release.manifest_fault import ManifestFaults
    from rhubarbhollow_release.resource_kind import ResourceKind


@dataclass(frozen=True)
class Resource:
    """Store the canonical JSON body of a resource, its kind and name.

    Successive resource sets share the objects of unchanged resources,
    so a body is decoded once for all releases that contain it.  No body
    is printed, since that of a tenant may hold keys.
    """

    kind: ResourceKind
    name: str
    body: bytes = field(repr=False)

    @cached_property
    def key(self) -> ResourceKey:
        """Return the key that identifies the resource in a manifest."""
        return ResourceKey(self.kind, self.name)

    @property
    def digest(self) -> bytes:
        """Return the SHA-256 of the kind and the body, 32 bytes."""
        return hashlib.sha256(self.kind.encode() + b"\0" + self.body).digest()

    @cached_property
    def item(self) -> Result[Item, ManifestFaults]:
        """Return the decoded body, or its faults."""
        return decode_item(self.kind, self.body)


def resource_of(item: Item) -> Resource:
    """Encode an item as a resource."""
    return Resource(kind_of(item), item.name, encode_item(item))

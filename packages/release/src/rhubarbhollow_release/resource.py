"""One content-addressed resource of a manifest."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
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
    """Hold a resource's canonical JSON body under its kind and name.

    Successive resource sets share the objects that did not change, so
    that a body is decoded once for all the releases that hold it.
    """

    kind: ResourceKind
    name: str
    body: bytes

    @cached_property
    def key(self) -> ResourceKey:
        """Return the identity within a manifest."""
        return ResourceKey(self.kind, self.name)

    @property
    def digest(self) -> bytes:
        """Return the SHA-256 of the kind and the body, 32 bytes."""
        return hashlib.sha256(self.kind.encode() + b"\0" + self.body).digest()

    @cached_property
    def item(self) -> Result[Item, ManifestFaults]:
        """Return the decoded body, or what is wrong with it."""
        return decode_item(self.kind, self.body)


def resource_of(item: Item) -> Resource:
    """Return the resource that holds an item."""
    return Resource(kind_of(item), item.name, encode_item(item))

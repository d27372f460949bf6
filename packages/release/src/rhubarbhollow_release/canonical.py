"""Canonical serialization of manifests, which approvals sign.

The canonical form is a JSON object with sorted keys, no white space,
and resources sorted by kind and name.  All fields are present but the
optional ones that ``encode_item`` omits.  Its first and last keys come
from the header, so it can be built by joining the resources' encoded
bodies: a node checks a digest without serializing the resources again.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

from rhubarbhollow_release.codec import encode_item, encode_json
from rhubarbhollow_release.resource_kind import ResourceKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping, Sequence

    from rhubarbhollow_release.codec import Item
    from rhubarbhollow_release.manifest import Manifest
    from rhubarbhollow_release.manifest_header import ManifestHeader

DIGEST_BYTES: Final = 32

SECTIONS: Final[Mapping[ResourceKind, str]] = {
    ResourceKind.NOTE: "notes",
    ResourceKind.RETRY_POLICY: "retry_policies",
    ResourceKind.ROUTE: "routes",
    ResourceKind.SERVICE: "services",
    ResourceKind.TENANT: "tenants",
}

# Sections that are omitted if empty: most manifests have neither, and
# the digests of releases from before a section existed must not change.
# Tenants are not if the manifest states that there are none.
_OMITTED_IF_EMPTY: Final = frozenset((ResourceKind.NOTE, ResourceKind.TENANT))


def canonical_bytes(manifest: Manifest) -> bytes:
    """Return the canonical bytes of a manifest."""
    bodies = {
        ResourceKind.NOTE: _bodies_of(manifest.notes),
        ResourceKind.RETRY_POLICY: _bodies_of(manifest.retry_policies),
        ResourceKind.ROUTE: _bodies_of(manifest.routes),
        ResourceKind.SERVICE: _bodies_of(manifest.services),
        ResourceKind.TENANT: _bodies_of(manifest.tenants),
    }
    return join_bodies(manifest.header, bodies)


def join_bodies(
    header: ManifestHeader,
    bodies: Mapping[ResourceKind, Sequence[bytes]],
) -> bytes:
    """Build the canonical bytes of a manifest from encoded bodies.

    The bodies of each kind must be sorted by resource name.
    """
    return b"".join(_canonical_parts(header, bodies))


def digest_of_bodies(
    header: ManifestHeader,
    bodies: Mapping[ResourceKind, Sequence[bytes]],
) -> bytes:
    """Return the digest of what ``join_bodies`` builds, 32 bytes.

    The canonical bytes of a large manifest are not copied for it.
    """
    digest = hashlib.sha256()
    for part in _canonical_parts(header, bodies):
        digest.update(part)
    return digest.digest()


def _canonical_parts(
    header: ManifestHeader,
    bodies: Mapping[ResourceKind, Sequence[bytes]],
) -> Iterator[bytes]:
    yield b'{"format":%d,"mesh":%s' % (header.format, encode_json(header.mesh))
    for kind, section in SECTIONS.items():
        is_stated = kind is ResourceKind.TENANT and header.has_empty_tenants
        if bodies[kind] or is_stated or kind not in _OMITTED_IF_EMPTY:
            yield b',"%s":[' % section.encode()
            yield b",".join(bodies[kind])
            yield b"]"
    yield b',"version":%d}' % header.version


def digest_of(data: bytes) -> bytes:
    """Return the SHA-256 of canonical bytes, 32 bytes."""
    return hashlib.sha256(data).digest()


def _bodies_of(items: Iterable[Item]) -> list[bytes]:
    ordered = sorted(items, key=lambda item: item.name)
    return [encode_item(item) for item in ordered]

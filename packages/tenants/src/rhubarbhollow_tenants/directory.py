"""The tenants of one release, looked up by key and by name."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_tenants.identity import Identity
from rhubarbhollow_tenants.key_digest import (
    digest_of_key,
    fingerprint_of_digest,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from rhubarbhollow_tenants.tenant import Tenant


class TenantDirectory:
    """Immutable directory of the tenants of a release.

    It holds digests only, so no key can be read from it.  A key that
    two tenants share belongs to the first; an accepted release has
    none.

    A release with a list of tenants requires a key, also if the list is
    empty and no key is valid.
    """

    __slots__ = ("_by_digest", "_by_name", "_identities", "_requires_keys")

    def __init__(
        self, tenants: Iterable[Tenant] = (), *, requires_keys: bool = True
    ) -> None:
        self._requires_keys = requires_keys
        self._by_digest: dict[bytes, Identity] = {}
        self._by_name: dict[bytes, Tenant] = {}
        self._identities: set[Identity] = set()
        for tenant in tenants:
            name = tenant.name.encode()
            self._by_name[name] = tenant
            for digest in tenant.key_digests:
                identity = Identity(name, fingerprint_of_digest(digest))
                self._by_digest.setdefault(digest, identity)
                self._identities.add(identity)

    @property
    def requires_keys(self) -> bool:
        """Return whether requests need the key of a tenant.

        The release has no list of tenants otherwise, and requests are
        not authenticated.
        """
        return self._requires_keys

    @property
    def tenants(self) -> Collection[Tenant]:
        """Return all tenants, in no particular order."""
        return self._by_name.values()

    def authenticate(self, key: bytes) -> Tenant | None:
        """Return the tenant that a key belongs to, or ``None``."""
        identity = self.identify(key)
        return None if identity is None else self.tenant_of(identity)

    def identify(self, key: bytes) -> Identity | None:
        """Return the identity that a key proves, or ``None``."""
        return self._by_digest.get(digest_of_key(key))

    def named(self, name: str) -> Tenant | None:
        """Return the tenant with this name, or ``None``."""
        return self._by_name.get(name.encode())

    def tenant_of(self, identity: Identity) -> Tenant | None:
        """Return the tenant with the name of an identity."""
        return self._by_name.get(identity.name)

    def holds(self, name: str, fingerprint: bytes) -> bool:
        """Return whether a tenant has a key with this fingerprint."""
        return self.holds_identity(Identity(name.encode(), fingerprint))

    def holds_identity(self, identity: Identity) -> bool:
        """Return whether the key of an identity is still valid."""
        return identity in self._identities


NO_TENANTS: Final = TenantDirectory(requires_keys=False)

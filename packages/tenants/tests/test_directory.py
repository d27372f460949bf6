"""Look-ups of tenants by key, name and fingerprint."""

from hypothesis import given
from hypothesis import strategies as st

from rhubarbhollow_tenants.directory import NO_TENANTS, TenantDirectory
from rhubarbhollow_tenants.key_digest import (
    digest_of_key,
    fingerprint_of_digest,
)
from rhubarbhollow_tenants.tenant import Tenant

KEYS = st.binary(max_size=4)


def tenant(name, *keys, **changes):
    return Tenant(name, key_digests=tuple(map(digest_of_key, keys)), **changes)


@given(
    st.lists(st.lists(KEYS, max_size=3, unique=True), max_size=4),
    KEYS,
)
def test_a_key_is_found_only_at_the_tenant_that_has_it(key_lists, key):
    """Guard against a key that authenticates as another tenant."""
    owned = {}
    for index, keys in enumerate(key_lists):
        for one in keys:
            owned.setdefault(one, f"t-{index}")
    directory = TenantDirectory(
        tenant(f"t-{index}", *keys) for index, keys in enumerate(key_lists)
    )
    found = directory.authenticate(key)
    assert (None if found is None else found.name) == owned.get(key)


def test_a_fingerprint_counts_for_its_own_tenant_only():
    """Guard against a revoked key that another tenant's key revives."""
    directory = TenantDirectory((tenant("a", b"1", b"2"), tenant("b", b"3")))
    first = directory.identify(b"1")
    assert directory.holds("a", first.fingerprint)
    assert not directory.holds("b", first.fingerprint)
    assert not directory.holds("c", first.fingerprint)
    assert not directory.holds("a", b"")
    assert first.fingerprint == fingerprint_of_digest(digest_of_key(b"1"))
    assert len(first.fingerprint) == 16


def test_a_directory_names_its_tenants():
    directory = TenantDirectory((tenant("a", priority=1, rate=2.0, burst=3),))
    assert directory.named("a").rate == 2.0
    assert directory.named("b") is None
    assert directory.requires_keys
    assert not NO_TENANTS.requires_keys
    assert NO_TENANTS.authenticate(b"") is None


def test_an_empty_directory_refuses_every_key():
    """Guard against a release that opens the mesh with its last key."""
    directory = TenantDirectory(())
    assert directory.requires_keys
    assert directory.identify(b"1") is None


def test_no_digest_is_printed():
    """Guard against digests in logs: a weak key can be guessed."""
    owner = tenant("a", b"secret")
    directory = TenantDirectory((owner,))
    for value in (owner, directory, directory.identify(b"secret")):
        assert digest_of_key(b"secret").hex() not in repr(value)
        assert repr(digest_of_key(b"secret")) not in repr(value)

"""Tenants of a manifest: shared keys, faults and joined changes."""

import json
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from rhubarbhollow_release.canonical import canonical_bytes
from rhubarbhollow_release.difference import apply_difference, diff_resources
from rhubarbhollow_release.difference_codec import (
    _DICTIONARY,
    decode_difference,
    encode_difference,
)
from rhubarbhollow_release.difference_join import join_difference
from rhubarbhollow_release.manifest_fault import FaultKind
from rhubarbhollow_release.manifest_header import ManifestHeader
from rhubarbhollow_release.parsing import parse_manifest
from rhubarbhollow_release.resource_set import (
    ResourceSet,
    join_resources,
    split_manifest,
)

FIRST, SECOND = "1" * 64, "2" * 64
SECRET = "sekret-d41d8"
# Of a manifest without resources, as earlier versions encode it.
OLD_DIFFERENCE = (
    "0000000000000000000000000000000000000000000000000000000000000000"
    "c95b8f0a8a6f1e7d64a2b42eb1f80c36051ad2c652b041f7f01071a1ea99cd8e"
    "430d3c603428e998a3841d9083082360480000"
)


def with_tenants(document, *tenants, version=7):
    return json.dumps(
        {**document, "tenants": list(tenants), "version": version}
    ).encode()


def tenant(name, *digests, **changes):
    return {"name": name, "key_digests": list(digests), **changes}


def parse(document, *tenants, **changes):
    return parse_manifest(with_tenants(document, *tenants, **changes))


def test_tenants_survive_the_canonical_form(document):
    manifest = parse(
        document,
        tenant("b", SECOND, FIRST, rate=5, burst=0, title="B 2"),
        {"name": "a"},
    ).ok_value
    assert [one.name for one in manifest.tenants] == ["a", "b"]
    assert parse_manifest(canonical_bytes(manifest)) == Ok(manifest)
    assert join_resources(split_manifest(manifest)) == Ok(manifest)


def test_a_manifest_without_tenants_keeps_its_digest(document):
    """Guard against releases whose approvals are no longer valid."""
    without = parse_manifest(json.dumps(document).encode()).ok_value
    assert b"tenants" not in canonical_bytes(without)
    assert b"public" not in canonical_bytes(without)
    assert not without.requires_keys


TENANT_LISTS = st.sampled_from([None, [], ["a"], ["b"], ["a", "b"]])


@given(st.lists(TENANT_LISTS, min_size=1, max_size=5))
def test_an_empty_list_of_tenants_is_not_a_missing_one(names_of_steps):
    """Guard against a change that opens the mesh to everyone.

    Each step is read, sent as a difference, decoded, applied to the
    step before, checked in both ways, and read from its canonical form.
    """
    base = manifest = None
    digests = {}
    for names in names_of_steps:
        value = {"format": 1, "mesh": "lab", "version": 7}
        value |= {"services": [{"name": "s"}], "routes": []}
        if names is not None:
            keys = {"a": FIRST, "b": SECOND}
            value["tenants"] = [tenant(name, keys[name]) for name in names]
        parsed = parse_manifest(json.dumps(value).encode()).ok_value
        assert parsed.requires_keys == (names is not None)
        sent = encode_difference(diff_resources(base, split_manifest(parsed)))
        difference = decode_difference(sent).ok_value
        applied = apply_difference(base, difference).ok_value
        for joined in (
            join_difference(manifest, difference, applied),
            join_resources(applied),
            parse_manifest(applied.canonical()),
        ):
            assert joined == Ok(parsed)
        assert digests.setdefault(applied.digest, names) == names
        base, manifest = applied, parsed


def test_the_encodings_of_earlier_versions_are_read_as_before():
    """Guard against records of before that are refused or read anew.

    They did not tell an empty list of tenants from a missing one.
    """
    header = ManifestHeader(1, "lab", 7)
    difference = diff_resources(None, ResourceSet(header))
    assert decode_difference(bytes.fromhex(OLD_DIFFERENCE)) == Ok(difference)
    assert encode_difference(difference).hex() == OLD_DIFFERENCE
    assert not join_resources(ResourceSet(header)).ok_value.requires_keys


@pytest.mark.parametrize("flags", [[False], [1], [True, True], [None]])
def test_a_header_with_other_flags_is_refused(flags):
    preamble = {"header": [1, "lab", 7, *flags], "removed": [], "upserts": []}
    packer = zlib.compressobj(9, zlib.DEFLATED, -15, zdict=_DICTIONARY)
    plain = json.dumps(preamble).encode() + b"\n"
    data = bytes(64) + packer.compress(plain) + packer.flush()
    assert isinstance(decode_difference(data), Err)


def test_two_tenants_must_not_share_a_key(document):
    """Guard against a request that counts for another tenant."""
    faults = parse(
        document, tenant("a", FIRST, SECOND), tenant("b", SECOND)
    ).err_value.faults
    assert [(fault.kind, fault.path) for fault in faults] == [
        (FaultKind.SHARED_KEY, "/tenants/1/key_digests")
    ]
    assert SECOND not in repr(faults)


def test_a_change_must_not_share_a_key_either(document):
    """Guard against the check of a difference being less strict."""
    base = parse(document, tenant("a", FIRST), tenant("b", SECOND)).ok_value
    resources = split_manifest(base)
    for digest, is_valid in ((SECOND, False), ("3" * 64, True)):
        changed = json.loads(canonical_bytes(base))
        changed["version"] = 8
        changed["tenants"][0]["key_digests"] = [digest]
        parsed = parse_manifest(json.dumps(changed).encode())
        assert isinstance(parsed, Ok) == is_valid
        from rhubarbhollow_release.assembly import assemble_manifest
        from rhubarbhollow_release.codec import read_item
        from rhubarbhollow_release.manifest_header import ManifestHeader
        from rhubarbhollow_release.resource_kind import ResourceKind

        items = [
            read_item(ResourceKind.TENANT, one) for one in changed["tenants"]
        ]
        others = (*base.services, *base.routes, *base.retry_policies)
        header = ManifestHeader(1, "lab", 8)
        target = split_manifest(assemble_manifest(header, (*items, *others)))
        difference = diff_resources(resources, target)
        applied = apply_difference(resources, difference).ok_value
        joined = join_difference(base, difference, applied)
        assert isinstance(joined, Ok) == is_valid
        if is_valid:
            assert joined == join_resources(target)


def test_removed_and_added_tenants_are_joined(document):
    base = parse(document, tenant("a", FIRST), tenant("b", SECOND)).ok_value
    target = parse(document, tenant("c", FIRST), version=8).ok_value
    resources = split_manifest(base)
    difference = diff_resources(resources, split_manifest(target))
    applied = apply_difference(resources, difference).ok_value
    assert join_difference(base, difference, applied) == Ok(target)


def test_no_fault_contains_what_stands_in_place_of_a_digest(document):
    """Guard against keys in faults: operators may paste them there."""
    for value in (
        [SECRET],
        SECRET,
        [SECRET, SECRET],
        [[SECRET]],
        {SECRET: 1},
    ):
        entry = {"name": "a", "key_digests": value, "priority": SECRET}
        result = parse(document, entry)
        assert isinstance(result, Err)
        assert SECRET not in repr(result.err_value)

import zlib
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from rhubarbhollow_release.canonical import canonical_bytes, digest_of
from rhubarbhollow_release.difference import (
    EMPTY_DIGEST,
    apply_difference,
    diff_resources,
)
from rhubarbhollow_release.difference_codec import (
    _DICTIONARY,
    decode_difference,
    encode_difference,
)
from rhubarbhollow_release.difference_fault import (
    DifferenceFaultKind as Kind,
)
from rhubarbhollow_release.manifest import Manifest
from rhubarbhollow_release.manifest_fault import FaultKind
from rhubarbhollow_release.parsing import parse_manifest
from rhubarbhollow_release.resource import Resource
from rhubarbhollow_release.resource_key import ResourceKey
from rhubarbhollow_release.resource_kind import ResourceKind
from rhubarbhollow_release.resource_set import join_resources, split_manifest
from rhubarbhollow_release.route import Route
from rhubarbhollow_release.service import Service

NAMES = st.sampled_from("abcdefgh")
CONTENTS = st.tuples(
    st.dictionaries(NAMES, st.integers(1, 3), max_size=6),
    st.integers(1, 3),
)


def manifest_of(content):
    timeouts, version = content
    return Manifest(
        1,
        "lab",
        version,
        services=(Service("s"),),
        routes=tuple(
            Route(name, "*", f"/{name}", "s", timeout)
            for name, timeout in sorted(timeouts.items())
        ),
    )


@given(CONTENTS, CONTENTS)
def test_leads_from_any_base_to_any_target(old, new):
    target_manifest = manifest_of(new)
    base, target = (
        split_manifest(manifest_of(old)),
        split_manifest(
            target_manifest,
        ),
    )
    for start in (base, None, target):
        difference = diff_resources(start, target)
        encoded = encode_difference(difference)
        assert decode_difference(encoded).unwrap() == difference
        reached = apply_difference(start, difference).unwrap()
        assert reached == target
        assert reached.canonical() == canonical_bytes(target_manifest)
        assert reached.digest == digest_of(reached.canonical())
        assert join_resources(reached).unwrap() == target_manifest
        assert parse_manifest(reached.canonical()).unwrap() == target_manifest
    changed = {
        name
        for name in {*old[0], *new[0]}
        if old[0].get(name) != new[0].get(name)
    }
    difference = diff_resources(base, target)
    assert len(difference.removed) + len(difference.upserts) == len(changed)


@given(CONTENTS, CONTENTS, CONTENTS)
def test_fits_its_own_base_only(old, other, new):
    base, target = (
        split_manifest(manifest_of(old)),
        split_manifest(
            manifest_of(new),
        ),
    )
    wrong = split_manifest(manifest_of(other))
    applied = apply_difference(wrong, diff_resources(base, target))
    if wrong.digest == base.digest:
        assert applied == Ok(target)
    else:
        assert applied.err_value.kind is Kind.BASE_MISMATCH


@pytest.fixture
def resource_sets():
    return (
        split_manifest(manifest_of(({"a": 1, "b": 1}, 1))),
        split_manifest(manifest_of(({"b": 2}, 2))),
    )


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"base_digest": EMPTY_DIGEST}, Kind.BASE_MISMATCH),
        ({"target_digest": EMPTY_DIGEST}, Kind.TARGET_MISMATCH),
        ({"removed": ()}, Kind.TARGET_MISMATCH),
        ({"upserts": ()}, Kind.TARGET_MISMATCH),
        (
            {"removed": (ResourceKey(ResourceKind.ROUTE, "z"),)},
            Kind.MISSING_REMOVAL,
        ),
    ],
)
def test_a_rejected_difference_leaves_its_base_unchanged(
    resource_sets, changes, kind
):
    base, target = resource_sets
    before = base.canonical()
    difference = replace(diff_resources(base, target), **changes)
    assert apply_difference(base, difference).err_value.kind is kind
    assert base.canonical() == before


def compress(plain):
    """Build an encoded difference with zero digests from its text."""
    compressor = zlib.compressobj(9, zlib.DEFLATED, -15, zdict=_DICTIONARY)
    return bytes(64) + compressor.compress(plain) + compressor.flush()


@pytest.mark.parametrize(
    ("data", "kind"),
    [
        (b"", Kind.MALFORMED),
        (bytes(63), Kind.MALFORMED),
        (bytes(64) + b"\xff\xff", Kind.MALFORMED),
        (bytes((8 << 20) + 1), Kind.TOO_LARGE),
        (compress(bytes((32 << 20) + 1)), Kind.TOO_LARGE),
        (compress(b"{}\n"), Kind.MALFORMED),
        (compress(b"[" * 100_000), Kind.MALFORMED),
        *(
            (
                compress(b'{"header":%s,"removed":%s,"upserts":%s}\n' % row),
                kind,
            )
            for row, kind in (
                ((b'[1,"lab",1]', b"[]", b"[]"), None),
                ((b'[1,"lab",0]', b"[]", b"[]"), Kind.MALFORMED),
                ((b'[1,"",1]', b"[]", b"[]"), Kind.MALFORMED),
                ((b'[1,"lab",1]', b'[["x","a"]]', b"[]"), Kind.MALFORMED),
                ((b'[1,"lab",1]', b'[["route",1]]', b"[]"), Kind.MALFORMED),
                (
                    (b'[1,"lab",1]', b"[]", b'[["route","a",9]]'),
                    Kind.MALFORMED,
                ),
                (
                    (b'[1,"lab",1]', b"[]", b'[["route","a",-1]]'),
                    Kind.MALFORMED,
                ),
                (
                    (b'[1,"lab",1]', b'[["route","a"],["route","a"]]', b"[]"),
                    Kind.MALFORMED,
                ),
                (
                    (b'[1,"lab",1]', b'[["route","a"]]', b'[["route","a",0]]'),
                    Kind.MALFORMED,
                ),
            )
        ),
    ],
    ids=lambda value: repr(value)[-40:],
)
def test_rejects_invalid_encodings(data, kind):
    decoded = decode_difference(data)
    if kind is None:
        assert isinstance(decoded, Ok)
    else:
        assert decoded.err_value.kind is kind


# Guards against corruption: a changed byte or a truncation is detected,
# unless the decoded content is still that of the target.
@given(CONTENTS, st.data())
def test_damage_never_passes(content, data):
    target = split_manifest(manifest_of(content))
    encoded = bytearray(encode_difference(diff_resources(None, target)))
    index = data.draw(st.integers(0, len(encoded) - 1))
    encoded[index] ^= data.draw(st.integers(1, 255))
    decoded = decode_difference(bytes(encoded))
    if isinstance(decoded, Ok):
        applied = apply_difference(None, decoded.ok_value)
        assert isinstance(applied, Err) or applied.ok_value == target
    for cut in range(len(encoded)):
        assert isinstance(decode_difference(bytes(encoded[:cut])), Err)


@pytest.mark.parametrize(
    ("name", "body", "path", "kind"),
    [
        ("a", b"[]", "/services/a", FaultKind.WRONG_TYPE),
        ("a", b"{", "/services/a", FaultKind.SYNTAX),
        (
            "b",
            b'{"depends_on":[],"fallback":null,"name":"a","objectives":null}',
            "/services/b/name",
            FaultKind.BAD_VALUE,
        ),
        (
            "a",
            (
                b'{"depends_on":["z"],"fallback":null,"name":"a",'
                b'"objectives":null}'
            ),
            "/services/a/depends_on",
            FaultKind.MISSING_REFERENCE,
        ),
        (
            "s",
            b'{"depends_on":[],"fallback":null,"name":"s","objectives":null}',
            "/services/s/name",
            FaultKind.DUPLICATE_NAME,
        ),
    ],
)
def test_join_reports_invalid_resources(resource_sets, name, body, path, kind):
    """Guard against applying a stored release with invalid resources.

    A matching digest proves only that the bytes are unchanged, so
    joining checks every body and every reference.
    """
    resource = Resource(ResourceKind.SERVICE, name, body)
    stored = replace(
        resource_sets[0], resources=(*resource_sets[0].resources, resource)
    )
    faults = join_resources(stored).err_value.faults
    assert (faults[0].path, faults[0].kind) == (path, kind)


def test_join_reports_invalid_headers(resource_sets):
    header = replace(resource_sets[0].header, format=2, version=0)
    faults = join_resources(
        replace(resource_sets[0], header=header)
    ).err_value.faults
    assert [fault.path for fault in faults] == ["/format", "/version"]


def test_digests_differ_by_kind_and_body():
    digests = {
        Resource(kind, "a", body).digest
        for kind in ResourceKind
        for body in (b"", b"1")
    }
    assert len(digests) == 2 * len(ResourceKind)

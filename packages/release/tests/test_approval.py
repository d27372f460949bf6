import json
from dataclasses import replace

import pytest
from cryptography.hazmat.primitives.asymmetric.ec import (
    SECP256R1,
    generate_private_key,
)
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
    PublicFormat,
)
from result import Ok

from rhubarbhollow_release import keys
from rhubarbhollow_release.approval import sign_approval, verify_approval
from rhubarbhollow_release.approval_codec import (
    decode_approval,
    encode_approval,
)
from rhubarbhollow_release.approval_fault import ApprovalFaultKind as Kind
from rhubarbhollow_release.key_id import KEY_ID_CHARACTERS, key_id_of
from rhubarbhollow_release.keys import KeyFaultKind

DIGEST = bytes(range(32))
TERMS = {"mesh": "lab", "version": 8, "digest": DIGEST}


@pytest.fixture
def approval(key):
    return sign_approval(key, "lab", 8, DIGEST)


def verify(approval, trusted, **changes):
    return verify_approval(approval, **{**TERMS, **changes}, trusted=trusted)


def test_verifies_for_the_signed_terms(approval, trusted):
    assert verify(approval, trusted) == Ok(None)


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"mesh": "other"}, Kind.OTHER_MESH),
        ({"version": 9}, Kind.OTHER_VERSION),
        ({"digest": bytes(32)}, Kind.OTHER_DIGEST),
    ],
)
def test_cannot_be_replayed(approval, trusted, changes, kind):
    """Guard against using an approval for another release.

    Neither the approval itself nor a copy with changed fields passes,
    since the signature covers the mesh, the version and the digest.
    """
    assert verify(approval, trusted, **changes).err_value.kind is kind
    forged = replace(approval, **changes)
    fault = verify(forged, trusted, **changes).err_value
    assert fault.kind is Kind.BAD_SIGNATURE


@pytest.mark.parametrize("signature", [b"", bytes(64), bytes(63), bytes(65)])
def test_rejects_invalid_signatures(approval, trusted, signature):
    forged = replace(approval, signature=signature)
    assert verify(forged, trusted).err_value.kind is Kind.BAD_SIGNATURE


def test_rejects_untrusted_keys(approval, trusted):
    """Guard against a signature under another key's identifier."""
    assert verify(approval, {}).err_value.kind is Kind.UNKNOWN_KEY
    stranger = sign_approval(keys.generate_key(), "lab", 8, DIGEST)
    assert verify(stranger, trusted).err_value.kind is Kind.UNKNOWN_KEY
    forged = replace(stranger, key_id=approval.key_id)
    assert verify(forged, trusted).err_value.kind is Kind.BAD_SIGNATURE


@pytest.mark.parametrize(
    "changes",
    [
        {"mesh": "Lab"},
        {"mesh": 1},
        {"version": 0},
        {"version": 8.0},
        {"version": True},
        {"digest": DIGEST.hex().upper()},
        {"digest": DIGEST.hex()[2:]},
        {"digest": None},
        {"key_id": "zz" * 16},
        {"signature": ""},
        {"extra": 1},
    ],
    ids=repr,
)
def test_rejects_invalid_fields(approval, changes):
    document = encode_approval(approval)
    assert decode_approval(document) == Ok(approval)
    other = json.dumps({**json.loads(document), **changes}).encode()
    assert decode_approval(other).err_value.kind is Kind.MALFORMED


@pytest.mark.parametrize(
    "data",
    [b"", b"[]", b"{}", b"\xff", b"[" * 4000, b" " * 4097],
)
def test_rejects_malformed_documents(data):
    assert decode_approval(data).err_value.kind is Kind.MALFORMED


def test_keys_round_trip_through_pem(key):
    public = key.public_key()
    private_pem = keys.store_private_key(key)
    public_pem = keys.store_public_key(public)
    loaded = keys.load_private_key(private_pem).unwrap()
    assert keys.store_private_key(loaded) == private_pem
    assert keys.load_public_key(public_pem).unwrap() == public
    assert len(key_id_of(public)) == KEY_ID_CHARACTERS


def test_rejects_other_algorithms_and_malformed_pem():
    other = generate_private_key(SECP256R1())
    private = other.private_bytes(
        Encoding.PEM,
        PrivateFormat.PKCS8,
        NoEncryption(),
    )
    public = other.public_key().public_bytes(
        Encoding.PEM,
        PublicFormat.SubjectPublicKeyInfo,
    )
    for load, pem in (
        (keys.load_private_key, private),
        (keys.load_public_key, public),
    ):
        assert load(pem).err_value.kind is KeyFaultKind.OTHER_ALGORITHM
        assert load(b"x").err_value.kind is KeyFaultKind.MALFORMED

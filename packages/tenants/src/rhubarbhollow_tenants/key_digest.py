"""Digests and fingerprints of the keys of tenants."""

from __future__ import annotations

from hashlib import sha256
from typing import Final

DIGEST_BYTES: Final = 32
# 64 bits: enough to tell the keys of one tenant apart, which is all
# that a node beside an upstream needs after the caller's node has
# authenticated the request.
FINGERPRINT_CHARACTERS: Final = 16


def digest_of_key(key: bytes) -> bytes:
    """Return the SHA-256 of a key, 32 bytes."""
    return sha256(key).digest()


def fingerprint_of_digest(digest: bytes) -> bytes:
    """Return the first hexadecimal digits of a digest."""
    return digest.hex()[:FINGERPRINT_CHARACTERS].encode()

"""Request fingerprints, used to recognize a repeated request."""

from __future__ import annotations

from hashlib import blake2b
from typing import Final

FINGERPRINT_BYTES: Final = 16


def fingerprint_call(
    route: bytes, method: bytes, path: bytes, key_or_body: bytes
) -> bytes:
    """Return the fingerprint of a request.

    ``key_or_body`` is an idempotency key, a digest of the body or of
    its start, or empty; the calling code decides which. Each part is
    prefixed with its length, so that requests which differ only in
    where one part ends have different fingerprints.
    """
    parts = (route, method, path, key_or_body)
    framed = b"".join(b"%d:%b" % (len(part), part) for part in parts)
    return blake2b(framed, digest_size=FINGERPRINT_BYTES).digest()

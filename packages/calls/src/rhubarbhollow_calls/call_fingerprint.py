"""The fingerprint by which a repeated request is recognised."""

from __future__ import annotations

from hashlib import blake2b
from typing import Final

FINGERPRINT_BYTES: Final = 16


def fingerprint_call(
    route: bytes, method: bytes, path: bytes, key_or_body: bytes
) -> bytes:
    """Return the fingerprint of a request.

    ``key_or_body`` is the idempotency key if the caller sent one, and
    otherwise a digest of the first bytes of the body, perhaps empty.
    Each part is led by its length, so that no two requests collide by
    moving a boundary.
    """
    parts = (route, method, path, key_or_body)
    framed = b"".join(b"%d:%b" % (len(part), part) for part in parts)
    return blake2b(framed, digest_size=FINGERPRINT_BYTES).digest()

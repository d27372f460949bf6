"""Fingerprints of requests, from the part that has been received."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.call_fingerprint import (
    FINGERPRINT_BYTES,
    fingerprint_call,
)

if TYPE_CHECKING:
    from rhubarbhollow_calls.http_request_head import RequestHead
    from rhubarbhollow_calls.io_request_body import RequestBody

FINGERPRINTED_BODY_BYTES: Final = 1_024


def fingerprint_request(
    route: bytes, head: RequestHead, body: RequestBody
) -> bytes:
    """Return a fingerprint that is the same at every node.

    It covers the route, the method, the target, and the idempotency key
    or, without one, the first ``FINGERPRINTED_BODY_BYTES`` of the body.
    """
    known = head.idempotency_key or b""
    if not known and body.parts:
        start = b"".join(body.parts)[:FINGERPRINTED_BODY_BYTES]
        known = blake2b(start, digest_size=FINGERPRINT_BYTES).digest()
    return fingerprint_call(route, head.method, head.target, known)

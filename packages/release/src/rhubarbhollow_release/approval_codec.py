"""Encoding and decoding of approvals as JSON documents."""

from __future__ import annotations

import json
import re
from typing import Any, Final

from result import Err, Ok, Result

from rhubarbhollow_release.approval import SIGNATURE_BYTES, Approval
from rhubarbhollow_release.approval_fault import (
    ApprovalFault,
    ApprovalFaultKind,
)
from rhubarbhollow_release.canonical import DIGEST_BYTES
from rhubarbhollow_release.codec import encode_json
from rhubarbhollow_release.field_checks import is_name, is_version
from rhubarbhollow_release.key_id import KEY_ID_CHARACTERS

MAX_APPROVAL_BYTES: Final = 4096

_FIELDS: Final = frozenset(
    ("mesh", "version", "digest", "key_id", "signature")
)
_HEX: Final = re.compile("(?:[0-9a-f]{2})*")


def encode_approval(approval: Approval) -> bytes:
    """Encode an approval as JSON, with bytes in lower-case hex."""
    return encode_json(
        {
            "mesh": approval.mesh,
            "version": approval.version,
            "digest": approval.digest.hex(),
            "key_id": approval.key_id,
            "signature": approval.signature.hex(),
        },
    )


def decode_approval(data: bytes) -> Result[Approval, ApprovalFault]:
    """Decode an approval's JSON document, rejecting unknown fields."""
    if len(data) > MAX_APPROVAL_BYTES:
        return _malformed("document is too large")
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        return _malformed("document is not valid JSON")
    return read_approval(value)


def read_approval(value: Any) -> Result[Approval, ApprovalFault]:  # noqa: ANN401
    """Build an approval from a decoded JSON value after checking it."""
    if not isinstance(value, dict) or value.keys() != _FIELDS:
        return _malformed(
            "expected an object with exactly the fields mesh, version, "
            "digest, key_id and signature"
        )
    if not is_name(value["mesh"]):
        return _malformed("mesh is not a valid name")
    if not is_version(value["version"]):
        return _malformed("version is not an integer in the allowed range")
    if not _is_hex(value["digest"], DIGEST_BYTES):
        return _malformed("digest is not lower-case hex of the right length")
    if not _is_hex(value["key_id"], KEY_ID_CHARACTERS // 2):
        return _malformed("key_id is not lower-case hex of the right length")
    if not _is_hex(value["signature"], SIGNATURE_BYTES):
        return _malformed(
            "signature is not lower-case hex of the right length"
        )
    return Ok(
        Approval(
            mesh=value["mesh"],
            version=value["version"],
            digest=bytes.fromhex(value["digest"]),
            key_id=value["key_id"],
            signature=bytes.fromhex(value["signature"]),
        ),
    )


def _is_hex(value: object, size: int) -> bool:
    return (
        isinstance(value, str)
        and len(value) == 2 * size
        and bool(_HEX.fullmatch(value))
    )


def _malformed(detail: str) -> Err[ApprovalFault]:
    return Err(ApprovalFault(ApprovalFaultKind.MALFORMED, detail))

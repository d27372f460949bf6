"""Compact encoding of a release in a stage message.

The message already contains the version and both digests, and the node
knows its mesh.  The approval is therefore encoded as its key identifier
and signature only, and the difference without its leading digests.  The
self-contained forms of both are also accepted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from result import Ok, Result

from rhubarbhollow_distribution.stage import Stage
from rhubarbhollow_release.approval import SIGNATURE_BYTES, Approval
from rhubarbhollow_release.approval_codec import decode_approval
from rhubarbhollow_release.canonical import DIGEST_BYTES
from rhubarbhollow_release.difference import EMPTY_DIGEST, diff_resources
from rhubarbhollow_release.difference_codec import (
    decode_difference,
    encode_difference,
)
from rhubarbhollow_release.key_id import KEY_ID_CHARACTERS

if TYPE_CHECKING:
    from rhubarbhollow_release.approval_fault import ApprovalFault
    from rhubarbhollow_release.difference import Difference
    from rhubarbhollow_release.difference_fault import DifferenceFault
    from rhubarbhollow_release.resource_set import ResourceSet

KEY_ID_BYTES: Final = KEY_ID_CHARACTERS // 2
COMPACT_APPROVAL_BYTES: Final = KEY_ID_BYTES + SIGNATURE_BYTES


def build_stage(
    position: int,
    approval: Approval,
    target: ResourceSet,
    base: ResourceSet | None,
) -> Stage:
    """Return the message that transfers ``target``, given ``base``."""
    difference = encode_difference(diff_resources(base, target))
    return Stage(
        position=position,
        version=approval.version,
        base_digest=base.digest if base else b"",
        digest=target.digest,
        approval_document=encode_compact_approval(approval),
        difference=difference[2 * DIGEST_BYTES :],
    )


def encode_compact_approval(approval: Approval) -> bytes:
    """Return the key identifier and the signature as raw bytes."""
    return bytes.fromhex(approval.key_id) + approval.signature


def read_approval(
    message: Stage,
    mesh: str,
) -> Result[Approval, ApprovalFault]:
    """Decode the approval without verifying its signature."""
    document = message.approval_document
    if len(document) != COMPACT_APPROVAL_BYTES:
        return decode_approval(document)
    return Ok(
        Approval(
            mesh=mesh,
            version=message.version,
            digest=message.digest,
            key_id=document[:KEY_ID_BYTES].hex(),
            signature=document[KEY_ID_BYTES:],
        )
    )


def read_difference(message: Stage) -> Result[Difference, DifferenceFault]:
    """Decode the difference from the base to the target digest."""
    digests = (message.base_digest or EMPTY_DIGEST) + message.digest
    if message.difference.startswith(digests):
        return decode_difference(message.difference)
    return decode_difference(digests + message.difference)

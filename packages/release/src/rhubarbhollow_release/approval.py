"""A signed consent to put one version in force on one mesh."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from rhubarbhollow_release.approval_fault import (
    ApprovalFault,
    ApprovalFaultKind,
)
from rhubarbhollow_release.key_id import key_id_of
from rhubarbhollow_release.operator_channel import (
    CHANNEL_KEY_ID,
    OperatorChannel,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cryptography.hazmat.primitives.asymmetric.ed25519 import (
        Ed25519PrivateKey,
    )

    from rhubarbhollow_release.trust import TrustAnchor

SIGNATURE_BYTES: Final = 64
SIGNATURE_DOMAIN: Final = b"rhubarbhollow release approval 1\0"

_TERMS: Final = struct.Struct(">QH")


@dataclass(frozen=True, slots=True)
class Approval:
    """Bind a digest of canonical bytes to a mesh and a version.

    Neither another mesh nor another version accepts the signature, so
    an old approval cannot be used again.
    """

    mesh: str
    version: int
    digest: bytes
    key_id: str
    signature: bytes


def sign_approval(
    key: Ed25519PrivateKey,
    mesh: str,
    version: int,
    digest: bytes,
) -> Approval:
    """Approve a digest with a private key."""
    signature = key.sign(_signed_message(mesh, version, digest))
    key_id = key_id_of(key.public_key())
    return Approval(mesh, version, digest, key_id, signature)


def approve_by_channel(mesh: str, version: int, digest: bytes) -> Approval:
    """Record that the operators' channel approved a digest."""
    return Approval(
        mesh, version, digest, CHANNEL_KEY_ID, bytes(SIGNATURE_BYTES)
    )


def check_terms(
    approval: Approval,
    *,
    mesh: str,
    version: int,
    digest: bytes,
) -> Result[None, ApprovalFault]:
    """Check what an approval is for, but not who gave it."""
    if approval.mesh != mesh:
        return _fault(ApprovalFaultKind.OTHER_MESH, approval.mesh)
    if approval.version != version:
        return _fault(ApprovalFaultKind.OTHER_VERSION, str(approval.version))
    if approval.digest != digest:
        return _fault(ApprovalFaultKind.OTHER_DIGEST, approval.digest.hex())
    return Ok(None)


def verify_approval(
    approval: Approval,
    *,
    mesh: str,
    version: int,
    digest: bytes,
    trusted: Mapping[str, TrustAnchor],
) -> Result[None, ApprovalFault]:
    """Check that a trusted key or channel has approved just this."""
    terms = check_terms(approval, mesh=mesh, version=version, digest=digest)
    if isinstance(terms, Err):
        return terms
    public = trusted.get(approval.key_id)
    if public is None:
        return _fault(ApprovalFaultKind.UNKNOWN_KEY, approval.key_id)
    if isinstance(public, OperatorChannel):
        return Ok(None)
    # a process that trusts the channel alone never loads the library
    from cryptography.exceptions import InvalidSignature  # noqa: PLC0415

    message = _signed_message(mesh, version, digest)
    try:
        public.verify(approval.signature, message)
    except InvalidSignature:
        return _fault(ApprovalFaultKind.BAD_SIGNATURE, approval.key_id)
    return Ok(None)


def _signed_message(mesh: str, version: int, digest: bytes) -> bytes:
    name = mesh.encode()
    terms = _TERMS.pack(version, len(name))
    return SIGNATURE_DOMAIN + terms + name + digest


def _fault(kind: ApprovalFaultKind, detail: str) -> Err[ApprovalFault]:
    return Err(ApprovalFault(kind, detail))

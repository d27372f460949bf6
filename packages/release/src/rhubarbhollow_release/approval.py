"""Approvals: signatures that let a mesh accept one release."""

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

_SIGNED_HEADER: Final = struct.Struct(">QH")


@dataclass(frozen=True, slots=True)
class Approval:
    """Bind a digest of canonical bytes to a mesh and a version.

    The signature covers the mesh and the version, so an approval cannot
    be replayed for another mesh or another version.
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
    """Return an approval of a digest, signed with a private key."""
    signature = key.sign(_signed_message(mesh, version, digest))
    key_id = key_id_of(key.public_key())
    return Approval(mesh, version, digest, key_id, signature)


def approve_by_channel(mesh: str, version: int, digest: bytes) -> Approval:
    """Return an approval given by the operator channel, unsigned.

    The signature field holds zero bytes.
    """
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
    """Check an approval's mesh, version and digest.

    The signature is not checked.
    """
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
    """Check that a trusted key or channel approved this release.

    An approval by a trusted operator channel has no signature to check.
    """
    terms = check_terms(approval, mesh=mesh, version=version, digest=digest)
    if isinstance(terms, Err):
        return terms
    public = trusted.get(approval.key_id)
    if public is None:
        return _fault(ApprovalFaultKind.UNKNOWN_KEY, approval.key_id)
    if isinstance(public, OperatorChannel):
        return Ok(None)
    # Imported late: a process that trusts only the operator channel
    # never needs the cryptography library.
    from cryptography.exceptions import InvalidSignature  # noqa: PLC0415

    message = _signed_message(mesh, version, digest)
    try:
        public.verify(approval.signature, message)
    except InvalidSignature:
        return _fault(ApprovalFaultKind.BAD_SIGNATURE, approval.key_id)
    return Ok(None)


def _signed_message(mesh: str, version: int, digest: bytes) -> bytes:
    name = mesh.encode()
    header = _SIGNED_HEADER.pack(version, len(name))
    return SIGNATURE_DOMAIN + header + name + digest


def _fault(kind: ApprovalFaultKind, detail: str) -> Err[ApprovalFault]:
    return Err(ApprovalFault(kind, detail))

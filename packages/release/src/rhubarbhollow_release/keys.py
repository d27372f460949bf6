"""Generation and PEM encoding of the Ed25519 keys of approvers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from cryptography.exceptions import UnsupportedAlgorithm
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)
from result import Err, Ok, Result


class KeyFaultKind(StrEnum):
    """Classify the reason why a key cannot be loaded."""

    MALFORMED = "malformed"
    OTHER_ALGORITHM = "other_algorithm"


@dataclass(frozen=True, slots=True)
class KeyFault:
    """Describe why a key cannot be loaded."""

    kind: KeyFaultKind
    detail: str


def generate_key() -> Ed25519PrivateKey:
    """Generate a private key from the system's random source."""
    return Ed25519PrivateKey.generate()


def store_private_key(key: Ed25519PrivateKey) -> bytes:
    """Encode a private key as PEM (PKCS 8, not encrypted)."""
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def store_public_key(key: Ed25519PublicKey) -> bytes:
    """Encode a public key as PEM (SubjectPublicKeyInfo)."""
    return key.public_bytes(
        serialization.Encoding.PEM,
        serialization.PublicFormat.SubjectPublicKeyInfo,
    )


def load_private_key(pem: bytes) -> Result[Ed25519PrivateKey, KeyFault]:
    """Load an Ed25519 private key from unencrypted PEM."""
    try:
        key = serialization.load_pem_private_key(pem, password=None)
    except (ValueError, TypeError, UnsupportedAlgorithm) as error:
        return Err(KeyFault(KeyFaultKind.MALFORMED, ascii(str(error))))
    if not isinstance(key, Ed25519PrivateKey):
        return Err(KeyFault(KeyFaultKind.OTHER_ALGORITHM, type(key).__name__))
    return Ok(key)


def load_public_key(pem: bytes) -> Result[Ed25519PublicKey, KeyFault]:
    """Load an Ed25519 public key from PEM."""
    try:
        key = serialization.load_pem_public_key(pem)
    except (ValueError, UnsupportedAlgorithm) as error:
        return Err(KeyFault(KeyFaultKind.MALFORMED, ascii(str(error))))
    if not isinstance(key, Ed25519PublicKey):
        return Err(KeyFault(KeyFaultKind.OTHER_ALGORITHM, type(key).__name__))
    return Ok(key)

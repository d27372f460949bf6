"""Identifiers of the public keys that approve releases."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from cryptography.hazmat.primitives.asymmetric.ed25519 import (
        Ed25519PublicKey,
    )

KEY_ID_CHARACTERS: Final = 32


def key_id_of(public: Ed25519PublicKey) -> str:
    """Return the identifier of a public key.

    It is the first 16 bytes of the SHA-256 of the raw key, in hex.
    """
    raw = public.public_bytes_raw()
    return hashlib.sha256(raw).hexdigest()[:KEY_ID_CHARACTERS]

"""The identifiers of the keys that approve releases."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from cryptography.hazmat.primitives.asymmetric.ed25519 import (
        Ed25519PublicKey,
    )

KEY_ID_CHARACTERS: Final = 32


def key_id_of(public: Ed25519PublicKey) -> str:
    """Return a public key's identifier: its SHA-256's start, in hex."""
    raw = public.public_bytes_raw()
    return hashlib.sha256(raw).hexdigest()[:KEY_ID_CHARACTERS]

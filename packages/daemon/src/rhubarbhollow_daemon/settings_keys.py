"""Loading of the public keys that may approve releases."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey
from result import Err, Ok, Result

from rhubarbhollow_daemon.settings_fault import (
    SettingsFault,
    SettingsFaultKind,
)
from rhubarbhollow_release.key_id import key_id_of
from rhubarbhollow_release.keys import load_public_key

if TYPE_CHECKING:
    from pathlib import Path

_HEX_KEY: Final = re.compile(r"[0-9a-fA-F]{64}")


@dataclass(frozen=True, slots=True)
class ApprovalKey:
    """Hold a trusted public key and its identifier."""

    key_id: str
    public: Ed25519PublicKey


def load_approval_key(
    source: str,
    folder: Path,
    path: str,
) -> Result[ApprovalKey, SettingsFault]:
    """Load a key given as 64 hex digits or as the name of a PEM file.

    A relative file name is resolved against ``folder``; ``path`` is the
    JSON pointer of the setting, used in a fault.
    """
    if _HEX_KEY.fullmatch(source):
        public = Ed25519PublicKey.from_public_bytes(bytes.fromhex(source))
        return Ok(ApprovalKey(key_id_of(public), public))
    try:
        pem = (folder / source).read_bytes()
    except (OSError, ValueError) as error:
        detail = f"{source}: {type(error).__name__}"
        return Err(SettingsFault(path, SettingsFaultKind.BAD_KEY_FILE, detail))
    loaded = load_public_key(pem)
    if isinstance(loaded, Err):
        detail = f"{source}: {loaded.err_value.kind}"
        return Err(SettingsFault(path, SettingsFaultKind.BAD_KEY_FILE, detail))
    public = loaded.ok_value
    return Ok(ApprovalKey(key_id_of(public), public))

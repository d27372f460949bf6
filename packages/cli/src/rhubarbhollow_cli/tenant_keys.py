"""Changes of a tenant's keys in the document of a manifest."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import StrEnum
from hashlib import sha256
from typing import TYPE_CHECKING, Any, Final

import yaml
from result import Err, Ok, Result

from rhubarbhollow_release.document import load_document
from rhubarbhollow_release.parsing import parse_manifest

if TYPE_CHECKING:
    from collections.abc import Callable

    from rhubarbhollow_release.manifest_fault import ManifestFaults

FINGERPRINT_CHARACTERS: Final = 16
# The new key and the one that callers still use.
ROTATION_KEYS: Final = 2


class TenantFaultKind(StrEnum):
    """Classify the reason why a tenant's keys cannot be changed."""

    KEY_INVALID = "key_invalid"
    UNKNOWN_TENANT = "unknown_tenant"
    UNKNOWN_KEY = "unknown_key"
    KNOWN_KEY = "known_key"
    ROTATION_UNFINISHED = "rotation_unfinished"
    LAST_KEY = "last_key"


@dataclass(frozen=True, slots=True)
class TenantFault:
    """Describe why a tenant's keys cannot be changed.

    ``detail`` contains no key.
    """

    kind: TenantFaultKind
    tenant: str
    detail: str


@dataclass(frozen=True, slots=True)
class ChangedKeys:
    """Hold a changed document and how many keys the tenant has."""

    document: bytes
    key_count: int


def digest_of_key(key: bytes) -> str:
    """Return the digest by which a manifest names a key."""
    return sha256(key).hexdigest()


def add_key(
    document: bytes, tenant: str, digest: str
) -> Result[ChangedKeys, TenantFault | ManifestFaults]:
    """Add a key to a tenant."""
    return _change(document, tenant, lambda known: _with(known, digest))


def rotate_key(
    document: bytes, tenant: str, digest: str
) -> Result[ChangedKeys, TenantFault | ManifestFaults]:
    """Add a key beside the one that is in use.

    Both are valid until the old one is removed, which has to happen
    before the next rotation.
    """

    def rotate(known: list[str]) -> list[str] | tuple[TenantFaultKind, str]:
        if len(known) >= ROTATION_KEYS:
            return (
                TenantFaultKind.ROTATION_UNFINISHED,
                f"the tenant has {len(known)} keys; remove old ones first",
            )
        return _with(known, digest)

    return _change(document, tenant, rotate)


def remove_key(
    document: bytes, tenant: str, digest: str, *, may_be_last: bool = False
) -> Result[ChangedKeys, TenantFault | ManifestFaults]:
    """Remove a key, by its digest or the start of it."""

    def remove(known: list[str]) -> list[str] | tuple[TenantFaultKind, str]:
        kept = [one for one in known if not one.startswith(digest)]
        if len(kept) != len(known) - 1:
            return TenantFaultKind.UNKNOWN_KEY, "no key of the tenant matches"
        if not kept and not may_be_last:
            return (
                TenantFaultKind.LAST_KEY,
                "without its last key the tenant is refused everywhere",
            )
        return kept

    return _change(document, tenant, remove)


def _with(
    known: list[str], digest: str
) -> list[str] | tuple[TenantFaultKind, str]:
    if digest in known:
        return TenantFaultKind.KNOWN_KEY, "the tenant has this key already"
    return [*known, digest]


def _change(
    document: bytes,
    tenant: str,
    edit: Callable[[list[str]], list[str] | tuple[TenantFaultKind, str]],
) -> Result[ChangedKeys, TenantFault | ManifestFaults]:
    parsed = parse_manifest(document)
    if isinstance(parsed, Err):
        return parsed
    value: Any = load_document(document).unwrap()
    entry = next(
        (one for one in value.get("tenants", ()) if one["name"] == tenant),
        None,
    )
    if entry is None:
        kind = TenantFaultKind.UNKNOWN_TENANT
        return Err(TenantFault(kind, tenant, "the manifest does not have it"))
    digests = edit(entry.get("key_digests", []))
    if isinstance(digests, tuple):
        return Err(TenantFault(digests[0], tenant, digests[1]))
    entry["key_digests"] = digests
    changed = _render(value, is_json=document.lstrip().startswith(b"{"))
    # Refuses, for example, a key that another tenant has.
    checked = parse_manifest(changed)
    if isinstance(checked, Err):
        return checked
    return Ok(ChangedKeys(changed, len(digests)))


def _render(value: Any, *, is_json: bool) -> bytes:  # noqa: ANN401
    """Return a document in the syntax it had; comments are lost."""
    if not is_json:
        text = yaml.safe_dump(value, sort_keys=False, allow_unicode=True)
        if load_document(text.encode()) == Ok(value):
            return text.encode()
        # YAML 1.1, which the library writes, leaves some texts unquoted
        # that are numbers in the core schema; JSON is read either way.
    text = json.dumps(value, indent=2, ensure_ascii=False)
    return f"{text}\n".encode()

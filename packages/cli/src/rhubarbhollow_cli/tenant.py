"""Commands that change the keys of a tenant in a manifest file."""

from __future__ import annotations

import secrets
import sys
from typing import TYPE_CHECKING, Any, Final

import click
from result import Err, Ok, Result

from rhubarbhollow_cli.files import (
    PRIVATE_MODE,
    create_file,
    read_file,
    write_file,
)
from rhubarbhollow_cli.options import FILE, NEW_FILE, output_option
from rhubarbhollow_cli.output import OutputFormat, print_document
from rhubarbhollow_cli.session import require
from rhubarbhollow_cli.tenant_keys import (
    FINGERPRINT_CHARACTERS,
    TenantFault,
    TenantFaultKind,
    add_key,
    digest_of_key,
    remove_key,
    rotate_key,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from rhubarbhollow_cli.tenant_keys import ChangedKeys
    from rhubarbhollow_release.manifest_fault import ManifestFaults

KEY_BYTES: Final = 32
MAX_KEY_BYTES: Final = 1024
_FIRST_VISIBLE: Final = 0x21
_LAST_VISIBLE: Final = 0x7E

_key_file_option = click.option(
    "--generate",
    "key_file",
    type=NEW_FILE,
    help="Generate a key into this new file, readable by its owner only."
    " Without it, the key is read from the standard input.",
)


@click.group("tenant")
def tenant() -> None:
    """Change the keys of a tenant in a manifest file.

    Manifests hold digests of keys. Keys are never printed. The file is
    written anew, without its comments; raise its version yourself.
    """


@tenant.command("add-key")
@click.argument("file", type=FILE)
@click.argument("name")
@_key_file_option
@output_option
def add(
    file: Path, name: str, key_file: Path | None, output: OutputFormat
) -> None:
    """Add a key to the tenant NAME in the manifest FILE."""
    _add(file, name, key_file, output, add_key)


@tenant.command("rotate-key")
@click.argument("file", type=FILE)
@click.argument("name")
@_key_file_option
@output_option
def rotate(
    file: Path, name: str, key_file: Path | None, output: OutputFormat
) -> None:
    """Add a key to the tenant NAME beside its present one.

    Both are valid until remove-key removes the old one.
    """
    _add(file, name, key_file, output, rotate_key)


@tenant.command("remove-key")
@click.argument("file", type=FILE)
@click.argument("name")
@click.option(
    "--fingerprint",
    help="The first 16 hexadecimal digits of the key's digest. Without"
    " it, the key is read from the standard input.",
)
@click.option(
    "--last",
    "may_be_last",
    is_flag=True,
    help="Remove the key also if the tenant has no other.",
)
@output_option
def remove(
    file: Path,
    name: str,
    fingerprint: str | None,
    *,
    may_be_last: bool,
    output: OutputFormat,
) -> None:
    """Remove a key of the tenant NAME in the manifest FILE."""
    document = require(read_file(file), output)
    if fingerprint is None:
        digest = digest_of_key(require(_read_key(name), output))
    elif len(fingerprint) == FINGERPRINT_CHARACTERS:
        digest = fingerprint.lower()
    else:
        raise click.BadParameter(
            f"expected {FINGERPRINT_CHARACTERS} hexadecimal digits",
            param_hint="--fingerprint",
        )
    changed = remove_key(document, name, digest, may_be_last=may_be_last)
    _write(file, name, digest, require(changed, output), output)


def _add(
    file: Path,
    name: str,
    key_file: Path | None,
    output: OutputFormat,
    change: Callable[
        [bytes, str, str], Result[ChangedKeys, TenantFault | ManifestFaults]
    ],
) -> None:
    document = require(read_file(file), output)
    if key_file is None:
        key = require(_read_key(name), output)
    else:
        key = secrets.token_urlsafe(KEY_BYTES).encode()
    digest = digest_of_key(key)
    changed = require(change(document, name, digest), output)
    if key_file is not None:
        # Before the manifest: a digest without its key is of no use.
        require(create_file(key_file, key + b"\n", PRIVATE_MODE), output)
    _write(file, name, digest, changed, output)


def _write(
    file: Path,
    name: str,
    digest: str,
    changed: ChangedKeys,
    output: OutputFormat,
) -> None:
    require(write_file(file, changed.document), output)
    document: dict[str, Any] = {
        "tenant": name,
        "fingerprint": digest[:FINGERPRINT_CHARACTERS],
        "keys": changed.key_count,
    }
    print_document(document, output)


def _read_key(name: str) -> Result[bytes, TenantFault]:
    """Read a key from the standard input, without its line end."""
    key = sys.stdin.buffer.read(MAX_KEY_BYTES + 2).removesuffix(b"\n")
    key = key.removesuffix(b"\r")
    is_visible = all(_FIRST_VISIBLE <= byte <= _LAST_VISIBLE for byte in key)
    if not key or len(key) > MAX_KEY_BYTES or not is_visible:
        detail = (
            f"expected one line of 1 to {MAX_KEY_BYTES} visible ASCII"
            " characters on the standard input"
        )
        return Err(TenantFault(TenantFaultKind.KEY_INVALID, name, detail))
    return Ok(key)

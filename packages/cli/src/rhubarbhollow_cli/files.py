"""Reading of files up to a size limit, and writing of files."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from rhubarbhollow_cli.input_fault import InputFault, InputFaultKind
from rhubarbhollow_release.document import MAX_DOCUMENT_BYTES

if TYPE_CHECKING:
    from pathlib import Path

PRIVATE_MODE: Final = 0o600
PUBLIC_MODE: Final = 0o644


def read_file(path: Path) -> Result[bytes, InputFault]:
    """Read a file of at most the size of a manifest."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_DOCUMENT_BYTES + 1)
    except OSError as error:
        return _fault(InputFaultKind.UNREADABLE, path, error)
    if len(data) > MAX_DOCUMENT_BYTES:
        detail = f"larger than {MAX_DOCUMENT_BYTES} bytes"
        fault = InputFault(InputFaultKind.TOO_LARGE, str(path), detail)
        return Err(fault)
    return Ok(data)


def create_file(
    path: Path,
    data: bytes,
    mode: int = PUBLIC_MODE,
) -> Result[None, InputFault]:
    """Create a file and sync it to disk; fail if it exists.

    The file has its final mode from its creation on, so that a private
    key is never readable by others.
    """
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        with os.fdopen(os.open(path, flags, mode), "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
    except FileExistsError as error:
        return _fault(InputFaultKind.EXISTS, path, error)
    except OSError as error:
        return _fault(InputFaultKind.UNWRITABLE, path, error)
    return Ok(None)


def write_file(path: Path, data: bytes) -> Result[None, InputFault]:
    """Write a file, replacing an existing one."""
    try:
        path.write_bytes(data)
    except OSError as error:
        return _fault(InputFaultKind.UNWRITABLE, path, error)
    return Ok(None)


def _fault(
    kind: InputFaultKind,
    path: Path,
    error: OSError,
) -> Err[InputFault]:
    detail = error.strerror or type(error).__name__
    return Err(InputFault(kind, str(path), detail))

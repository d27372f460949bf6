"""What can be wrong with a manifest."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable


MAX_FAULTS: Final = 1000


class FaultKind(StrEnum):
    """Classify a manifest's fault."""

    TOO_LARGE = "too_large"
    TOO_DEEP = "too_deep"
    SYNTAX = "syntax"
    DUPLICATE_KEY = "duplicate_key"
    ALIAS = "alias"
    TAG = "tag"
    UNKNOWN_FIELD = "unknown_field"
    MISSING_FIELD = "missing_field"
    WRONG_TYPE = "wrong_type"
    OUT_OF_RANGE = "out_of_range"
    BAD_VALUE = "bad_value"
    DUPLICATE_NAME = "duplicate_name"
    DUPLICATE_MATCH = "duplicate_match"
    MISSING_REFERENCE = "missing_reference"
    CYCLE = "cycle"
    NOT_CANONICAL = "not_canonical"
    TRUNCATED = "truncated"


@dataclass(frozen=True, slots=True, order=True)
class ManifestFault:
    """Name one fault.

    ``path`` is a JSON pointer (RFC 6901) into the document.
    """

    path: str
    kind: FaultKind
    detail: str


@dataclass(frozen=True, slots=True)
class ManifestFaults:
    """Hold all faults of a manifest; there is at least one."""

    faults: tuple[ManifestFault, ...]


def fault_of(path: str, kind: FaultKind, detail: str) -> ManifestFaults:
    """Return the faults of a manifest that has just this one."""
    return ManifestFaults((ManifestFault(path, kind, detail),))


def is_truncated(faults: tuple[ManifestFault, ...]) -> bool:
    """Say whether more faults were found than are listed."""
    return bool(faults) and faults[-1].kind is FaultKind.TRUNCATED


def limit_faults(
    faults: Iterable[ManifestFault],
) -> tuple[ManifestFault, ...]:
    """Drop repeated faults and those beyond MAX_FAULTS, and say so."""
    distinct: dict[ManifestFault, None] = {}
    for fault in faults:
        if len(distinct) == MAX_FAULTS and fault not in distinct:
            detail = f"over {MAX_FAULTS} faults"
            return (*distinct, ManifestFault("", FaultKind.TRUNCATED, detail))
        distinct[fault] = None
    return tuple(distinct)


def pointer_to(path: str, key: str | int) -> str:
    """Extend a JSON pointer, in ASCII, by a key or an index."""
    text = str(key).encode("ascii", "backslashreplace").decode()
    return f"{path}/{text.replace('~', '~0').replace('/', '~1')}"


def duplicate_key(path: str, key: str) -> ManifestFault:
    """Return the fault of a key that a mapping holds twice."""
    pointer = pointer_to(path, key)
    return ManifestFault(pointer, FaultKind.DUPLICATE_KEY, ascii(key))

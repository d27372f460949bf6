"""Faults found in manifests and their locations."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable


MAX_FAULTS: Final = 1000


class FaultKind(StrEnum):
    """Classify a fault of a manifest."""

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
    SHARED_KEY = "shared_key"
    MISSING_REFERENCE = "missing_reference"
    CYCLE = "cycle"
    NOT_CANONICAL = "not_canonical"
    TRUNCATED = "truncated"


@dataclass(frozen=True, slots=True, order=True)
class ManifestFault:
    """Describe one fault and where it was found.

    ``path`` is a JSON pointer (RFC 6901) into the document.
    """

    path: str
    kind: FaultKind
    detail: str


@dataclass(frozen=True, slots=True)
class ManifestFaults:
    """Store all faults of a manifest, at least one."""

    faults: tuple[ManifestFault, ...]


def single_fault(path: str, kind: FaultKind, detail: str) -> ManifestFaults:
    """Return a collection of faults that holds only this one."""
    return ManifestFaults((ManifestFault(path, kind, detail),))


def is_truncated(faults: tuple[ManifestFault, ...]) -> bool:
    """Return whether the list of faults was cut at ``MAX_FAULTS``."""
    return bool(faults) and faults[-1].kind is FaultKind.TRUNCATED


def limit_faults(
    faults: Iterable[ManifestFault],
) -> tuple[ManifestFault, ...]:
    """Drop repeated faults and those beyond ``MAX_FAULTS``.

    A list that was cut ends with a fault of kind ``TRUNCATED``.
    """
    distinct: dict[ManifestFault, None] = {}
    for fault in faults:
        if len(distinct) == MAX_FAULTS and fault not in distinct:
            detail = f"over {MAX_FAULTS} faults"
            return (*distinct, ManifestFault("", FaultKind.TRUNCATED, detail))
        distinct[fault] = None
    return tuple(distinct)


def pointer_to(path: str, key: str | int) -> str:
    """Append a key or an index to a JSON pointer.

    Characters outside ASCII are written as backslash escapes.
    """
    text = str(key).encode("ascii", "backslashreplace").decode()
    return f"{path}/{text.replace('~', '~0').replace('/', '~1')}"


def duplicate_key(path: str, key: str) -> ManifestFault:
    """Return the fault for a key that occurs twice in a mapping."""
    pointer = pointer_to(path, key)
    return ManifestFault(pointer, FaultKind.DUPLICATE_KEY, ascii(key))

"""What can be wrong with a manifest."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


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

"""What can be wrong with an operator's files."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class InputFaultKind(StrEnum):
    """Classify an input's fault."""

    UNREADABLE = "unreadable"
    TOO_LARGE = "too_large"
    EXISTS = "exists"
    UNWRITABLE = "unwritable"
    VERSION_RANGE = "version_range"


@dataclass(frozen=True, slots=True)
class InputFault:
    """Name a fault of a file or of an option."""

    kind: InputFaultKind
    name: str
    detail: str

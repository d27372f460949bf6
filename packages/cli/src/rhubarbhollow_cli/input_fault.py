"""Faults in an operator's files and options."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class InputFaultKind(StrEnum):
    """Classify a fault of a file or an option."""

    UNREADABLE = "unreadable"
    TOO_LARGE = "too_large"
    EXISTS = "exists"
    UNWRITABLE = "unwritable"
    VERSION_RANGE = "version_range"


@dataclass(frozen=True, slots=True)
class InputFault:
    """A fault of the file or option called ``name``."""

    kind: InputFaultKind
    name: str
    detail: str

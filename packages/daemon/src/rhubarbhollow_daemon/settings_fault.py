"""Faults of a settings file."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class SettingsFaultKind(StrEnum):
    """The kind of a settings fault, as printed to the operator."""

    UNREADABLE = "unreadable"
    SYNTAX = "syntax"
    ALIAS = "alias"
    DUPLICATE_KEY = "duplicate_key"
    UNKNOWN_KEY = "unknown_key"
    MISSING_KEY = "missing_key"
    WRONG_TYPE = "wrong_type"
    OUT_OF_RANGE = "out_of_range"
    BAD_VALUE = "bad_value"
    DUPLICATE = "duplicate"
    CONTRADICTION = "contradiction"
    BAD_KEY_FILE = "bad_key_file"


@dataclass(frozen=True, slots=True, order=True)
class SettingsFault:
    """Describe one fault; ``path`` is a JSON pointer (RFC 6901)."""

    path: str
    kind: SettingsFaultKind
    detail: str


@dataclass(frozen=True, slots=True)
class SettingsFaults:
    """Hold all faults of a settings file, at least one."""

    faults: tuple[SettingsFault, ...]

"""Entries of the replicated log."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class EntryKind(IntEnum):
    """Say who interprets an entry's payload."""

    NOOP = 0
    COMMAND = 1
    CONFIG = 2


@dataclass(frozen=True, slots=True)
class Entry:
    """Hold one position of the log; index and term start at one."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes

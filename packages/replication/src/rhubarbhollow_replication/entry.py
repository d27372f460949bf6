"""Entries of the replicated log."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class EntryKind(IntEnum):
    """The kind of an entry, which determines who reads its payload."""

    NOOP = 0
    COMMAND = 1
    CONFIG = 2


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log; index and term start at one."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes

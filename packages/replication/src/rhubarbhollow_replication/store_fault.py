"""Typed failures of the durable store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class CorruptRecord:
    """Bytes that had been synced no longer match their checksum."""

    path: str
    offset: int


@dataclass(frozen=True, slots=True)
class SyncFailed:
    """The system could not make written bytes durable.

    What the page cache then holds cannot be trusted, so the process
    makes no promise after it.
    """

    path: str
    errno: int


@dataclass(frozen=True, slots=True)
class DiskFull:
    """No space is left for what had to be written."""

    path: str


@dataclass(frozen=True, slots=True)
class DiskFailed:
    """Any other operation on the data folder failed."""

    path: str
    errno: int


StoreFault: TypeAlias = CorruptRecord | SyncFailed | DiskFull | DiskFailed

"""Typed errors of the durable store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class CorruptRecord:
    """Data that had been synced is missing, invalid or inconsistent."""

    path: str
    offset: int


@dataclass(frozen=True, slots=True)
class SyncFailed:
    """The operating system could not make written data durable.

    The contents of the page cache cannot be trusted afterwards, so the
    process must not vote or acknowledge entries any more.
    """

    path: str
    errno: int


@dataclass(frozen=True, slots=True)
class DiskFull:
    """The disk has no space left for a write."""

    path: str


@dataclass(frozen=True, slots=True)
class DiskFailed:
    """Another operation on the data folder failed."""

    path: str
    errno: int


StoreFault: TypeAlias = CorruptRecord | SyncFailed | DiskFull | DiskFailed

"""A summary of the releases held by a node."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HolderView:
    """Summarise the state of a ``ReleaseHolder`` for operators."""

    mesh: str
    active_position: int
    active_version: int
    active_digest: bytes
    active_since_seconds: float
    staged_positions: tuple[int, ...]
    refused_count: int
    last_refusal: str

"""The short trace that an accepted release leaves."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReleaseRecord:
    """Hold what a repeated submission is answered from."""

    position: int
    version: int
    digest: bytes
    key_id: str

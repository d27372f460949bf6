"""Records of accepted releases, stored longer than their content."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReleaseRecord:
    """Store what is needed to answer a repeated submission."""

    position: int
    version: int
    digest: bytes
    key_id: str

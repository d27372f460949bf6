"""The message that puts a staged release in force."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Activate:
    """Put the release at ``position`` in force."""

    position: int
    digest: bytes

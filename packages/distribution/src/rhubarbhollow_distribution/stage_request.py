"""The node's request for a difference against what it holds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StageRequest:
    """Ask for a fresh difference against ``base_digest``.

    ``EMPTY_DIGEST`` asks for the whole release.
    """

    base_position: int
    base_digest: bytes

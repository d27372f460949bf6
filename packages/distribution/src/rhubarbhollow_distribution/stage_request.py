"""The message that requests a difference against a held release."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StageRequest:
    """Request a new difference against ``base_digest``.

    ``EMPTY_DIGEST`` requests the whole release.
    """

    base_position: int
    base_digest: bytes

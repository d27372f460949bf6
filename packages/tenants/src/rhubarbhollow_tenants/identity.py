"""The identity of an authenticated request."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Identity:
    """Store a tenant's name and the fingerprint of the key it sent."""

    name: bytes
    fingerprint: bytes = field(repr=False)

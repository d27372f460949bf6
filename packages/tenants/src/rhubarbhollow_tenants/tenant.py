"""Tenants: the callers that a mesh tells apart by their keys."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Tenant:
    """Store what a node knows of a tenant.

    Calls of ``priority`` 0 are served first.  ``rate`` is in calls per
    second and ``burst`` in calls; a rate of 0 is no limit.
    ``key_digests`` are SHA-256 digests, 32 bytes each.
    """

    name: str
    priority: int = 0
    rate: float = 0.0
    burst: float = 0.0
    key_digests: tuple[bytes, ...] = field(default=(), repr=False)

"""Tenants as a release stores them."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class TenantEntry:
    """Store a tenant's keys, as digests, and its limits.

    ``key_digests`` are SHA-256 digests in lower-case hex, sorted.
    Calls of ``priority`` 0 are served first.  ``rate`` is in calls per
    second and ``burst`` in calls; a rate of 0 is no limit.  ``title``
    is the name that upstreams see, if it is not a resource name.

    The annotation of a document in another format may hold the keys
    themselves, so it is never printed.
    """

    name: str
    key_digests: tuple[str, ...] = field(default=(), repr=False)
    priority: int = 0
    rate: float = 0.0
    burst: float = 0.0
    title: str = ""
    annotation: str = field(default="", repr=False)

    @property
    def display_name(self) -> str:
        """Return the name that upstreams see."""
        return self.title or self.name

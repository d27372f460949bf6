"""Routes: rules that assign calls to services."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhollow_release.priority import Priority

if TYPE_CHECKING:
    from rhubarbhollow_release.split import Split


@dataclass(frozen=True, slots=True)
class Route:
    """Send the calls that match a host and a path prefix to a service.

    ``host`` is ``*`` or an exact lower-case host.  Among the routes
    that match a call, the longest ``prefix`` wins.

    ``splits``, if any, distribute the calls among services in place of
    ``service``, which then names one of them.  ``rank`` orders queued
    calls, 0 first; ``priority`` orders the calls of routes without a
    rank.  ``latency_ms`` is the latency objective of its calls.  A
    public route needs no key of a tenant.  Nodes do not interpret
    ``annotation``.
    """

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: int
    retry_policy: str | None = None
    priority: Priority = Priority.INTERACTIVE
    is_idempotent: bool = False
    splits: tuple[Split, ...] = ()
    rank: int | None = None
    latency_ms: int | None = None
    is_public: bool = False
    annotation: str = ""

    @property
    def match(self) -> tuple[str, str]:
        """Return what distinguishes the calls of two routes."""
        return (self.host, self.prefix)

    @property
    def services(self) -> tuple[str, ...]:
        """Return all services to which the route may send calls."""
        parts = tuple(split.service for split in self.splits)
        return parts or (self.service,)

"""A rule that sends calls to a service."""

from __future__ import annotations

from dataclasses import dataclass

from rhubarbhollow_release.priority import Priority


@dataclass(frozen=True, slots=True)
class Route:
    """Send the calls that match a host and a path prefix to a service.

    ``host`` is ``*`` or an exact lower-case host.  Among the routes
    that match a call, the longest ``prefix`` wins.
    """

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: int
    retry_policy: str | None = None
    priority: Priority = Priority.INTERACTIVE
    is_idempotent: bool = False

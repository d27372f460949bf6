"""A route of a release, in the form that call handling uses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_calls.call_priority import CallPriority


@dataclass(frozen=True, slots=True)
class CallRoute:
    """Destination and call policy for a host and a path prefix.

    ``host`` is ``*`` for any host. ``budget_ratio`` is the retry
    budget, the share of recent calls that may be retried.
    ``fallbacks`` are the services whose upstreams are tried in order
    when none of ``service`` can be chosen. ``splits`` pairs services
    with weights above 0 and takes precedence over ``service``.
    ``rank`` orders waiting calls, 0 first. ``latency_seconds`` is the
    latency objective, or ``None`` without one. Calls of a public route
    need no key of a tenant.
    """

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: int
    attempts: int
    budget_ratio: float
    priority: CallPriority
    is_idempotent: bool
    fallbacks: tuple[str, ...]
    splits: tuple[tuple[str, float], ...] = ()
    rank: int = 0
    latency_seconds: float | None = None
    is_public: bool = False

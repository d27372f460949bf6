"""One route of a release, as calls use it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhollow_calls.call_priority import CallPriority


@dataclass(frozen=True, slots=True)
class CallRoute:
    """Say where calls under a host and path prefix go, and how.

    ``host`` is ``*`` for any host. ``budget_ratio`` is the share of
    recent calls that may be sent again. ``fallbacks`` are the services
    whose upstreams are tried in turn when none of ``service`` can be
    chosen. ``splits`` pairs services with weights above 0 and comes
    before ``service``. ``rank`` orders waiting calls, 0 first.
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

"""Which routes upstreams call, by where their calls come from.

Nothing in a request of an upstream says that it belongs to work that
has begun. Clients use the nodes of all services, while calls that
upstreams of a service make arrive at the nodes of that service only.
"""

from __future__ import annotations

import math
from typing import Final

# Number of calls in a row from one service after which a route counts
# as called by that service's upstreams. If a fifth of the calls came
# from elsewhere, such a run would occur once in two million.
MIN_RUN: Final = 64
# Time for which a route with calls from two services proves that
# clients use the nodes of several.
PROOF_SECONDS: Final = 60.0
# Beyond this number all routes are discarded at once.
MAX_ROUTES: Final = 4_096


class NestedRoutes:
    """Learn from which services the calls of each route come."""

    __slots__ = ("_by_route", "_mixed_at")

    def __init__(self) -> None:
        # By route: the last origin, and how many calls in a row had it.
        self._by_route: dict[bytes, tuple[bytes, int]] = {}
        # When a route was last seen with a change of origin.
        self._mixed_at = -math.inf

    def record(self, route: bytes, origin: bytes, now: float) -> None:
        """Add a call; ``origin`` is empty if it is unknown."""
        if not origin:
            return
        last, run = self._by_route.get(route, (origin, 0))
        if last == origin:
            if not run and len(self._by_route) >= MAX_ROUTES:
                self._by_route.clear()
            self._by_route[route] = (origin, run + 1)
            return
        self._by_route[route] = (origin, 1)
        self._mixed_at = now

    def is_nested(self, route: bytes, own_service: bytes, now: float) -> bool:
        """Return whether upstreams make the calls of the route.

        ``own_service`` is that of this node: its own upstream's calls
        cannot be told from those of clients.
        """
        if now - self._mixed_at > PROOF_SECONDS:
            return False
        origin, run = self._by_route.get(route, (b"", 0))
        return run >= MIN_RUN and origin != own_service

"""How long an idle connection may rest before it is used again."""

from __future__ import annotations

from typing import Final

# A connection that was dropped while it rested resets the next request
# at once; one that breaks later broke while the request ran.
IMMEDIATE_SECONDS: Final = 0.005
# A connection that rested for less is not suspected.
MIN_REST_SECONDS: Final = 0.1
# Share of the time after which a connection broke that others may rest.
SAFE_REST_SHARE: Final = 0.5
# How long a limit holds after the last connection that broke.
LIMIT_SECONDS: Final = 10.0


class ReuseLimit:
    """Learn from connections that were dropped while they rested.

    The load that this answers: an upstream that forgets idle
    connections without notice, and sooner than it says. What is sent
    next on each of them is reset, and whether a non-idempotent request
    ran is then unknown. After the first of them, connections that
    rested for half as long are not used again.
    """

    __slots__ = ("_expires_at", "_limit_seconds")

    def __init__(self) -> None:
        self._limit_seconds = 0.0
        self._expires_at = 0.0

    def record_break(
        self, rested_seconds: float, used_seconds: float, now: float
    ) -> None:
        """Record a connection that broke without any response.

        It broke ``used_seconds`` after a request was written to it, and
        had rested for ``rested_seconds`` before.
        """
        if rested_seconds < MIN_REST_SECONDS:
            return
        if used_seconds > IMMEDIATE_SECONDS:
            return
        limit = rested_seconds * SAFE_REST_SHARE
        if now < self._expires_at:
            limit = min(limit, self._limit_seconds)
        self._limit_seconds = limit
        self._expires_at = now + LIMIT_SECONDS

    def may_reuse(self, rested_seconds: float, now: float) -> bool:
        """Return whether a connection may be used after its rest."""
        if now >= self._expires_at:
            return True
        return rested_seconds < self._limit_seconds

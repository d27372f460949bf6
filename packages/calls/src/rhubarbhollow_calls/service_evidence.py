"""This node's own evidence about all endpoints of one service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.invariant import InvariantViolation

if TYPE_CHECKING:
    from rhubarbhollow_calls.upstream_evidence import UpstreamEvidence

# Endpoints that return failures are ejected up to this share of the
# service. Endpoints that are unreachable are ejected up to all but one.
MAX_EJECTED_SHARE: Final = 0.5


class TooManyEjected(InvariantViolation):
    """Raised when all endpoints of a service are ejected at once."""


class ServiceEvidence:
    """Hold the endpoints of one service and limit their ejection.

    ``steady_at`` is the time from which no endpoint is in slow start,
    backing off, ejected or on probation. From then on a choice does not
    have to rank all endpoints.
    """

    __slots__ = ("all", "local", "remote", "steady_at")

    def __init__(self, members: tuple[UpstreamEvidence, ...]) -> None:
        self.all = members
        self.local = tuple(
            evidence
            for evidence in members
            if evidence.is_local and not evidence.is_leaving
        )
        self.remote = tuple(
            evidence
            for evidence in members
            if not evidence.is_local and not evidence.is_leaving
        )
        self.steady_at = 0.0
        self.update_steady_at()

    def update_steady_at(self) -> None:
        """Recompute ``steady_at`` from all endpoints."""
        self.steady_at = max(
            (evidence.steady_at for evidence in self.all), default=0.0
        )

    def may_eject(self, now: float, *, is_unreachable: bool) -> bool:
        """Return whether one more endpoint may be ejected."""
        up, ejected = self._counts(now)
        limit = up - 1 if is_unreachable else int(up * MAX_EJECTED_SHARE)
        return ejected < limit

    def bound_ejections(self, now: float) -> None:
        """Readmit an endpoint if all in the table are ejected.

        That happens when a new table removes those that were not.
        """
        up, ejected = self._counts(now)
        if not up or ejected < up:
            return
        live = (e for e in self.all if not e.is_leaving)
        min(live, key=lambda e: e.ejected_until).ejected_until = now
        self.check(now)

    def check(self, now: float) -> None:
        """Raise ``TooManyEjected`` if every endpoint is ejected."""
        up, ejected = self._counts(now)
        if up and ejected >= up:
            raise TooManyEjected(f"{ejected} of {up} endpoints are ejected")

    def _counts(self, now: float) -> tuple[int, int]:
        live = [e for e in self.all if not e.is_leaving]
        return len(live), sum(e.ejected_until > now for e in live)

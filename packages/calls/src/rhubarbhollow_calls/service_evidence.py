"""This node's evidence on all endpoints of one service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.invariant import InvariantViolation

if TYPE_CHECKING:
    from rhubarbhollow_calls.upstream_evidence import UpstreamEvidence

# endpoints that answer badly are ejected up to this share; those that
# cannot be reached, up to all but one
MAX_EJECTED_SHARE: Final = 0.5


class TooManyEjected(InvariantViolation):
    """All endpoints of a service were ejected at once."""


class ServiceEvidence:
    """Hold the endpoints of one service and bound their ejection.

    ``steady_at`` is the time from which no endpoint differs from
    another by more than its load, so that all need not be ranked.
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
        """Work out ``steady_at`` anew from all endpoints."""
        self.steady_at = max(
            (evidence.steady_at for evidence in self.all), default=0.0
        )

    def may_eject(self, now: float, *, is_unreachable: bool) -> bool:
        """Return whether one more endpoint may be ejected."""
        up, ejected = self._counts(now)
        limit = up - 1 if is_unreachable else int(up * MAX_EJECTED_SHARE)
        return ejected < limit

    def bound_ejections(self, now: float) -> None:
        """Readmit an endpoint if a new table left only ejected ones."""
        up, ejected = self._counts(now)
        if not up or ejected < up:
            return
        live = (e for e in self.all if not e.is_leaving)
        min(live, key=lambda e: e.ejected_until).ejected_until = now
        self.check(now)

    def check(self, now: float) -> None:
        """Assert that some endpoint is not ejected."""
        up, ejected = self._counts(now)
        if up and ejected >= up:
            raise TooManyEjected

    def _counts(self, now: float) -> tuple[int, int]:
        live = [e for e in self.all if not e.is_leaving]
        return len(live), sum(e.ejected_until > now for e in live)

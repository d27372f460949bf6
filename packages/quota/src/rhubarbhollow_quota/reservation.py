"""A parent's record of what a child may hold of one tenant's quota."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from rhubarbhollow_quota.messages import UNIT
from rhubarbhollow_quota.timing import FULL_SECONDS, HALF_SECONDS

if TYPE_CHECKING:
    from rhubarbhollow_quota.messages import QuotaClaim

_NEVER: Final = float("-inf")
# The demand of a child that has not reported for this long counts no
# more: children renew every two seconds.
DEMAND_SECONDS: Final = 3.0
# No request waits longer for a token.
WAIT_SECONDS: Final = 0.1


@dataclass(slots=True)
class Bound:
    """Bound what a child holds, now and after its lease has fallen.

    ``rate`` and ``burst`` hold until ``full_until``, ``later_rate`` and
    ``later_burst`` until ``half_until``. ``base`` is the part of the
    burst that refills: only half of it is left after the fall.
    """

    number: int
    rate: float
    burst: float
    later_rate: float
    later_burst: float
    base: float
    tokens: float
    full_until: float
    half_until: float

    def rate_at(self, now: float) -> float:
        """Return the rate that the child may have at ``now``."""
        if now < self.full_until:
            return self.rate
        return self.later_rate if now < self.half_until else 0.0

    def burst_at(self, now: float) -> float:
        """Return the tokens that the child may have at ``now``."""
        if now < self.full_until:
            return self.burst
        return self.later_burst if now < self.half_until else 0.0


def _nothing() -> Bound:
    return Bound(0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, _NEVER, _NEVER)


class Reservation:
    """Keep back what a child holds or may have been sent.

    A grant counts in full from the moment it is sent. What it replaces
    counts until the child confirms the grant or the lease ends.
    """

    __slots__ = (
        "_confirmed",
        "_open",
        "demand",
        "heard_at",
        "level",
        "wanted",
    )

    def __init__(self) -> None:
        self._confirmed = _nothing()
        self._open: list[Bound] = []
        self.demand = 0.0
        self.wanted = 0.0
        self.level = 0.0
        self.heard_at = _NEVER

    def rate_at(self, now: float) -> float:
        """Return the rate that is kept back for the child."""
        rate = self._confirmed.rate_at(now)
        for bound in self._open:
            rate = max(rate, bound.rate_at(now))
        return rate

    def burst_at(self, now: float) -> float:
        """Return the tokens that are kept back for the child."""
        burst = self._confirmed.burst_at(now)
        for bound in self._open:
            burst = max(burst, bound.burst_at(now))
        return burst

    def demand_at(self, now: float) -> float:
        """Return the demand, zero if the child is no longer heard."""
        return self.demand if now - self.heard_at < DEMAND_SECONDS else 0.0

    def wanted_at(self, now: float) -> float:
        """Return the tokens that the child's requests wait for."""
        return self.wanted if now - self.heard_at < WAIT_SECONDS else 0.0

    @property
    def open_tokens(self) -> float:
        """Return the tokens sent in grants that are not confirmed."""
        return sum(bound.tokens for bound in self._open)

    def note(self, claim: QuotaClaim, now: float) -> None:
        """Record the demand that a claim states."""
        self.demand = claim.demand / UNIT
        self.wanted = claim.wanted / UNIT
        self.heard_at = now
        self._open = [b for b in self._open if now < b.half_until]

    def confirm(self, claim: QuotaClaim) -> None:
        """Record what the child holds after the grant it applied."""
        base = self._confirmed
        for bound in self._open:
            if bound.number == claim.applied:
                base = bound
        self._open = [b for b in self._open if b.number > claim.applied]
        rate, burst = claim.rate / UNIT, claim.burst / UNIT
        later_rate, later_burst = rate, burst
        if not claim.is_half:
            later_rate = max(rate, base.rate) / 2
            later_burst = max(burst, base.base) / 2
        self._confirmed = Bound(
            claim.applied,
            rate,
            burst,
            later_rate,
            later_burst,
            base.base,
            0.0,
            base.full_until,
            base.half_until,
        )
        self.level = claim.level / UNIT

    def adopt(self, claim: QuotaClaim, now: float) -> None:
        """Keep back what a child holds from an earlier parent."""
        rate, burst = claim.rate / UNIT, claim.burst / UNIT
        self._confirmed = Bound(
            0,
            rate,
            burst,
            rate,
            burst,
            burst,
            0.0,
            now + FULL_SECONDS,
            now + HALF_SECONDS,
        )
        self.level = claim.level / UNIT

    def grant(
        self,
        number: int,
        rate: float,
        burst: float,
        excess: float,
        tokens: float,
        full_until: float,
        half_until: float,
    ) -> None:
        """Keep back a grant that is about to be sent.

        ``excess`` is what the level may exceed ``burst`` by.
        """
        self._open.append(
            Bound(
                number,
                rate,
                burst + excess,
                rate / 2,
                burst / 2,
                burst,
                tokens,
                full_until,
                half_until,
            )
        )

    def is_over(self, now: float) -> bool:
        """Return whether nothing is kept back and no demand counts."""
        return (
            self.rate_at(now) <= 0.0
            and self.burst_at(now) <= 0.0
            and self.demand_at(now) <= 0.0
        )

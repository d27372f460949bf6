"""A tenant's shares, demand and counters at one node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_quota.demand import DemandMeter
from rhubarbhollow_quota.holding import Holding
from rhubarbhollow_quota.messages import QuotaClaim, round_down, round_up

if TYPE_CHECKING:
    from rhubarbhollow_quota.messages import QuotaShare
    from rhubarbhollow_quota.quota import Quota

ParentKey = tuple[str, int]
# Tokens above the burst are kept this long after the last request.
IDLE_SECONDS: Final = 0.5


class Account:
    """Hold the shares of a tenant by the parent that leased them."""

    def __init__(self, quota: Quota) -> None:
        self.quota = quota
        self.meter = DemandMeter()
        self.waiting = 0
        self.admitted = 0
        self.rejected = 0
        self.unconfirmed = 0
        # A token without a lease was spent: its room is free again once
        # this is reported.
        self.has_spent_gift = False
        self._holdings: dict[ParentKey, Holding] = {}
        self._taken_at = float("-inf")
        self._promised_at = float("-inf")

    def take(self, now: float) -> bool:
        """Spend a token of any share; count the request if one did."""
        for holding in self._holdings.values():
            if holding.take(now):
                self.has_spent_gift |= holding.lease.burst <= 0.0
                self.admitted += 1
                self._taken_at = now
                return True
        return False

    def tokens(self, now: float) -> float:
        """Return the tokens of all shares, without spending one."""
        total = 0.0
        for holding in self._holdings.values():
            holding.advance(now)
            total += holding.level
        return total

    def rate(self, now: float) -> float:
        """Return the rate of all live shares."""
        return sum(
            holding.lease.rate
            for holding in self._holdings.values()
            if holding.lease.is_live(now)
        )

    def next_turn(self, rate: float, now: float) -> float:
        """Return when the next token comes that nobody waits for."""
        pace = rate or self.quota.rate
        self._promised_at = max(now, self._promised_at) + 1.0 / pace
        # Rejected clients give up; promises beyond a second are void.
        self._promised_at = min(self._promised_at, now + 1.0)
        return self._promised_at

    def rescale(self, quota: Quota, now: float) -> None:
        """Scale every share down to a lowered quota."""
        self.quota = quota
        for holding in self._holdings.values():
            holding.rescale(quota, now)

    def apply(
        self,
        share: QuotaShare,
        key: ParentKey,
        number: int,
        sent_at: float,
        now: float,
        quota: Quota,
    ) -> bool:
        """Apply a share; return whether it is a reduction."""
        holding = self._holdings.get(key)
        if holding is None:
            self._purge(now)
            holding = self._holdings[key] = Holding(now)
        if number <= holding.lease.applied:
            return False
        holding.advance(now)
        rate, burst = holding.lease.rate, holding.lease.burst
        holding.apply(share, number, sent_at, now, quota)
        return holding.lease.rate < rate or holding.lease.burst < burst

    def open_demand(self, key: ParentKey, now: float) -> float:
        """Return the demand that other parents' shares do not cover."""
        covered = sum(
            holding.lease.rate
            for parent, holding in self._holdings.items()
            if parent != key and holding.lease.is_live(now)
        )
        return max(0.0, self.meter.rate(now) - covered)

    def held(self, key: ParentKey, now: float) -> float:
        """Return the tokens held or due from ``key``."""
        holding = self._holdings.get(key)
        if holding is None:
            return 0.0
        holding.advance(now)
        return holding.burst

    def claim(self, tenant: str, key: ParentKey, now: float) -> QuotaClaim:
        """Return what to report; give back what is not needed."""
        demand = self.open_demand(key, now)
        holding = self._holdings.get(key)
        if holding is None:
            return QuotaClaim(
                tenant, round_up(demand), round_up(self.waiting), *_NOTHING
            )
        holding.advance(now)
        returned = 0.0
        if demand <= 0.0 and not self.waiting:
            returned = holding.give_up()
        elif not self.waiting and now - self._taken_at > IDLE_SECONDS:
            returned = holding.return_surplus()
        lease = holding.lease
        return QuotaClaim(
            tenant,
            round_up(demand),
            round_up(self.waiting),
            round_up(lease.rate),
            round_up(holding.burst),
            round_down(holding.level),
            round_down(returned),
            round_up(lease.whole.rate),
            round_up(lease.whole.burst),
            lease.applied,
            lease.is_half,
        )

    def _purge(self, now: float) -> None:
        ended = [
            key
            for key, holding in self._holdings.items()
            if not holding.lease.is_live(now)
        ]
        for key in ended:
            del self._holdings[key]


_NOTHING: Final = (0, 0, 0, 0, 0, 0, -1, False)

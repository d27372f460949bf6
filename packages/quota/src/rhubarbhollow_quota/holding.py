"""A leaf's share of a tenant's quota: a lease and its tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_quota.lease import ShareLease
from rhubarbhollow_quota.messages import UNIT
from rhubarbhollow_quota.quota import shrink_factor

if TYPE_CHECKING:
    from rhubarbhollow_quota.messages import QuotaShare
    from rhubarbhollow_quota.quota import Quota


class Holding:
    """A token bucket that its lease fills.

    The level may exceed the lease's burst by tokens that the parent
    gave; nothing accrues until they are spent.
    """

    __slots__ = ("_at", "lease", "level")

    def __init__(self, now: float) -> None:
        self.lease = ShareLease()
        self.level = 0.0
        self._at = now

    @property
    def burst(self) -> float:
        """Return the most that the level can reach unasked."""
        return max(self.lease.burst, self.level)

    def advance(self, now: float) -> None:
        """Add what has accrued, and let the lease fall when due."""
        lease = self.lease
        while lease.next_edge <= now:
            self._accrue(lease.next_edge)
            lease.fall()
            self.level = min(self.level, lease.burst)
        self._accrue(now)

    def take(self, now: float) -> bool:
        """Spend one token, if there is a whole one."""
        self.advance(now)
        # Sums of many small amounts may miss the whole by rounding.
        if self.level < 1.0 - 1e-9:
            return False
        self.level = max(0.0, self.level - 1.0)
        return True

    def apply(
        self,
        share: QuotaShare,
        number: int,
        sent_at: float,
        now: float,
        quota: Quota,
    ) -> None:
        """Replace the lease by ``share`` and add its tokens."""
        self.advance(now)
        self.lease.apply(share, number, sent_at, quota)
        factor = shrink_factor(share.whole_burst / UNIT, quota.burst)
        limit = (share.burst + share.excess) / UNIT * factor
        added = share.tokens / UNIT * factor
        self.level = max(self.level, min(self.level + added, limit))
        self.advance(now)

    def rescale(self, quota: Quota, now: float) -> None:
        """Scale down to a lowered quota."""
        self.advance(now)
        self.level *= shrink_factor(self.lease.whole.burst, quota.burst)
        self.lease.rescale(quota)

    def return_surplus(self) -> float:
        """Give up the tokens above the burst; return how many."""
        surplus = max(0.0, self.level - self.lease.burst)
        self.level -= surplus
        return surplus

    def give_up(self) -> float:
        """Give up the whole share; return the tokens in it."""
        self.lease.give_up()
        return self.return_surplus()

    def _accrue(self, until: float) -> None:
        if until <= self._at:
            return
        lease = self.lease
        if self.level < lease.burst:
            gained = (until - self._at) * lease.rate
            self.level = min(lease.burst, self.level + gained)
        self._at = until

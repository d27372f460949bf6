"""A leased part of a quota."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_quota.messages import UNIT
from rhubarbhollow_quota.quota import NO_QUOTA, Quota, shrink_factor
from rhubarbhollow_quota.timing import CHILD_SHARE

if TYPE_CHECKING:
    from rhubarbhollow_quota.messages import QuotaShare

NEVER: Final = float("inf")
_MS: Final = 1000.0


class ShareLease:
    """Hold a rate and a burst that fall to half and then to nothing."""

    __slots__ = (
        "applied",
        "burst",
        "epoch",
        "full_until",
        "half_until",
        "is_half",
        "rate",
        "whole",
    )

    def __init__(self) -> None:
        self.rate = 0.0
        self.burst = 0.0
        self.whole = NO_QUOTA
        self.applied = -1
        self.epoch = 0
        self.full_until = -NEVER
        self.half_until = -NEVER
        self.is_half = False

    def is_live(self, now: float) -> bool:
        """Return whether the lease has not ended."""
        return now < self.half_until

    @property
    def next_edge(self) -> float:
        """Return when the lease falls next, or infinity."""
        if self.half_until == -NEVER:
            return NEVER
        return self.half_until if self.is_half else self.full_until

    def fall(self) -> None:
        """Pass the next edge: fall to half, or from half to nothing."""
        if self.is_half:
            self.rate = self.burst = 0.0
            self.half_until = self.full_until = -NEVER
        else:
            self.rate /= 2
            self.burst /= 2
            self.is_half = True

    def apply(
        self, share: QuotaShare, number: int, sent_at: float, quota: Quota
    ) -> None:
        """Replace the lease by a share that answers a report.

        The duration counts from ``sent_at``, when the report was sent,
        so that the lease ends before the parent's record of it.
        """
        self.applied = number
        self.rate = share.rate / UNIT
        self.burst = share.burst / UNIT
        self.whole = Quota(share.whole_rate / UNIT, share.whole_burst / UNIT)
        self.full_until = sent_at + share.full_ms / _MS * CHILD_SHARE
        self.half_until = sent_at + share.half_ms / _MS * CHILD_SHARE
        self.is_half = False
        self.rescale(quota)

    def rescale(self, quota: Quota) -> None:
        """Scale down to a quota that is lower than the lease's."""
        self.rate *= shrink_factor(self.whole.rate, quota.rate)
        self.burst *= shrink_factor(self.whole.burst, quota.burst)
        self.whole = Quota(
            min(self.whole.rate, quota.rate),
            min(self.whole.burst, quota.burst),
        )

    def give_up(self) -> None:
        """Hold nothing any more, without ending the lease."""
        self.rate = self.burst = 0.0

"""How a parent divides a quota between its children."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from rhubarbhollow_quota.capacity import Capacity
    from rhubarbhollow_quota.quota import Quota

# Share of the rate that stays with the parent for new demand. What
# accrues from it is given to children that run out of tokens, so it is
# not lost.
RATE_RESERVE: Final = 0.05
# Share of the burst that stays with the parent. Tokens in hand at one
# child are of no use to another, so more of it is pooled.
BURST_RESERVE: Final = 0.2
# A leased rate exceeds the demand by this factor, so that a small rise
# needs no new lease. Control instances get nearly all of the quota in
# proportion to their demand: what the leader has not leased when it
# ends is lost for ten seconds, and a request that needs a token from
# another data centre often waits too long.
LEAF_HEADROOM: Final = 1.25
BRANCH_HEADROOM: Final = 10.0
# What a child keeps of the burst, in seconds of its rate. Its parent is
# a few milliseconds away and serves irregular arrivals from its pool.
LEAF_BURST_SECONDS: Final = 0.25
LEAF_MIN_BURST: Final = 2.0
BRANCH_BURST_SECONDS: Final = 5.0
# A node whose part of the burst is smaller gets tokens one by one: a
# share that rarely holds a whole token wastes what accrues in it.
LEAF_VIABLE_BURST: Final = 8.0
# A smaller burst is not split between control instances: tokens that
# wait at one of them are missing at the others. The leader gives such a
# tenant's tokens one by one and leases no rate of it.
MIN_SPLIT_BURST: Final = 10.0
# Part of such a burst that one control instance may hold at a time, so
# that a new leader can tell what an earlier one may have given.
_HELD_SHARE: Final = 5


@dataclass(frozen=True, slots=True)
class Part:
    """The rate and the burst that a child should have."""

    rate: float
    burst: float


NO_PART: Final = Part(0.0, 0.0)


def divide(
    capacity: Capacity, demand: float, total: float, *, is_leaf: bool
) -> Part:
    """Return the part of a child with ``demand`` out of ``total``."""
    if demand <= 0.0:
        return NO_PART
    share = min(1.0, demand / total) if total > 0.0 else 1.0
    rate = capacity.rate * (1.0 - RATE_RESERVE) * share
    burst = capacity.burst * (1.0 - BURST_RESERVE) * share
    if is_leaf:
        if burst < LEAF_VIABLE_BURST:
            return NO_PART
        rate = min(rate, demand * LEAF_HEADROOM)
        limit = max(LEAF_MIN_BURST, rate * LEAF_BURST_SECONDS)
        return Part(rate, min(burst, limit))
    if not is_split(capacity.whole):
        return NO_PART
    rate = min(rate, demand * BRANCH_HEADROOM)
    return Part(rate, min(burst, max(1.0, rate * BRANCH_BURST_SECONDS)))


def is_split(quota: Quota) -> bool:
    """Return whether shares of a quota are leased to branches."""
    return quota.burst >= MIN_SPLIT_BURST


def unsplit_limit(quota: Quota) -> int:
    """Return the tokens that a branch may hold of an unsplit quota."""
    return max(1, int(quota.burst) // _HELD_SHARE)

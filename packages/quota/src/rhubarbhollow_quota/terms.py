"""The terms of a grant: what is free, tokens, and when to retry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_quota.division import Part
from rhubarbhollow_quota.messages import UNIT, round_down, round_up

if TYPE_CHECKING:
    from rhubarbhollow_quota.capacity import Capacity
    from rhubarbhollow_quota.pool import Pool
    from rhubarbhollow_quota.reservation import Reservation

MIN_RETRY_SECONDS: Final = 0.05
MAX_RETRY_SECONDS: Final = 1.0
# While demand exceeds the quota, urgent reports gain little over the
# regular ones, which come four times a second.
OVERLOAD_RETRY_SECONDS: Final = 0.25
OVERLOAD: Final = 1.5
# A token that comes this soon is worth waiting for.
SOON_SECONDS: Final = 0.06


def free_part(
    capacity: Capacity, pool: Pool, reservation: Reservation, now: float
) -> Part:
    """Return the most that one child may hold beside the others.

    A lease granted now falls to half with the capacity. Others may have
    fallen before and do not fall again; the sum must fit then as well.
    """
    held_rate = reservation.rate_at(now)
    held_burst = reservation.burst_at(now)
    rate = capacity.rate - pool.reserved_rate(now) + held_rate
    burst = capacity.burst - pool.reserved_burst(now) + held_burst
    edge = capacity.falls_at
    if edge == float("inf"):
        return Part(rate, burst)
    later_rate = pool.reserved_rate(edge) - reservation.rate_at(edge)
    later_burst = pool.reserved_burst(edge) - reservation.burst_at(edge)
    return Part(
        min(rate, capacity.rate - 2 * later_rate),
        min(burst, capacity.burst - 2 * later_burst),
    )


def take_tokens(
    pool: Pool,
    reservation: Reservation,
    burst: int,
    held_burst: float,
    free_burst: float,
    now: float,
    limit: float,
) -> tuple[int, int]:
    """Take tokens for a child out of the pool.

    Return them and how far they may raise its level above ``burst``.
    Tokens that the pool can no longer hold, since their room is leased
    to the child, go along within its burst.
    """
    in_hand = round_up(reservation.level + reservation.open_tokens)
    room = max(0.0, free_burst - max(held_burst, burst / UNIT))
    displaced = round_down(pool.level - room)
    within = max(0, min(displaced, burst - in_hand))
    pool.level = min(pool.level - within / UNIT, room)
    wanted = round(reservation.wanted_at(now))
    whole = int(max(0.0, min(limit, pool.level)) + 1e-9)
    gift = UNIT * max(0, min(wanted, whole))
    pool.level = max(0.0, pool.level - gift / UNIT)
    tokens = within + gift
    reservation.wanted = max(0.0, reservation.wanted - tokens / UNIT)
    excess = max(0, in_hand + tokens - burst)
    return tokens, min(excess, max(0, round_down(free_burst) - burst))


def retry_seconds(pool: Pool, demand: float, capacity: Capacity) -> float:
    """Return when to ask again; zero if a token comes soon."""
    least = MIN_RETRY_SECONDS
    is_overloaded = demand > OVERLOAD * capacity.rate
    if is_overloaded:
        least = OVERLOAD_RETRY_SECONDS
    if pool.idle_rate <= 0.0:
        return MAX_RETRY_SECONDS
    until_whole = (1.0 - pool.level) / pool.idle_rate
    if until_whole <= SOON_SECONDS and not is_overloaded:
        return 0.0
    return max(least, min(MAX_RETRY_SECONDS, until_whole))

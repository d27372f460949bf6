"""A parent's tokens of one tenant, and what is kept for children."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_quota.reservation import Reservation

if TYPE_CHECKING:
    from rhubarbhollow_quota.capacity import Capacity


class Pool:
    """Fill from what is not leased, up to the burst that is not leased.

    The sum of the levels here and at the children stays within the
    burst, and the sum of what accrues within the rate.
    """

    __slots__ = ("_at", "_idle_rate", "level", "reservations")

    def __init__(self, now: float) -> None:
        self.level = 0.0
        self.reservations: dict[str, Reservation] = {}
        self._at = now
        self._idle_rate = 0.0

    def reservation(self, child: str) -> Reservation:
        """Return the reservation of a child, a new one at first."""
        found = self.reservations.get(child)
        if found is None:
            found = self.reservations[child] = Reservation()
        return found

    def settle(self, capacity: Capacity, now: float) -> None:
        """Add what has accrued since the last call."""
        rate = min(self._idle_rate, capacity.rate)
        room = capacity.burst - self.reserved_burst(now)
        if self.level < room:
            gained = max(0.0, rate * (now - self._at))
            self.level = min(room, self.level + gained)
        self._at = now
        self.limit(capacity, now)

    def limit(self, capacity: Capacity, now: float) -> None:
        """Keep the level and the rate within what is not leased.

        Called after each change of a reservation.
        """
        limit = capacity.burst + capacity.excess
        room = limit - self.reserved_burst(now)
        self.level = max(0.0, min(self.level, room))
        self._idle_rate = max(0.0, capacity.rate - self.reserved_rate(now))

    @property
    def idle_rate(self) -> float:
        """Return the rate at which the pool fills."""
        return self._idle_rate

    def reserved_rate(self, now: float) -> float:
        """Return the rate that is kept back for all children."""
        return sum(r.rate_at(now) for r in self.reservations.values())

    def reserved_burst(self, now: float) -> float:
        """Return the tokens that are kept back for all children."""
        return sum(r.burst_at(now) for r in self.reservations.values())

    def demand(self, now: float) -> float:
        """Return the demand of all children."""
        return sum(r.demand_at(now) for r in self.reservations.values())

    def is_over(self, now: float) -> bool:
        """Drop ended reservations; return whether none is left."""
        over = [n for n, r in self.reservations.items() if r.is_over(now)]
        for name in over:
            del self.reservations[name]
        return not self.reservations

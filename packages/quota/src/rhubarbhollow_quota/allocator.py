"""The parent's side: answers reports with shares of the quotas."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from rhubarbhollow_quota.division import (
    divide,
    is_split,
    unsplit_limit,
)
from rhubarbhollow_quota.messages import (
    UNIT,
    QuotaGrant,
    QuotaShare,
    round_down,
    round_up,
)
from rhubarbhollow_quota.pool import Pool
from rhubarbhollow_quota.quota import Quota
from rhubarbhollow_quota.terms import (
    free_part,
    retry_seconds,
    take_tokens,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from rhubarbhollow_quota.capacity import CapacitySource
    from rhubarbhollow_quota.messages import QuotaClaim, QuotaReport

# A lease shorter than this is not worth a grant.
MIN_LEASE_SECONDS: Final = 0.05
PURGE_SECONDS: Final = 5.0
_MS: Final = 1000


@dataclass(slots=True)
class _Child:
    incarnation: int
    report_number: int = 0
    grant_number: int = 0
    waiting: set[str] = field(default_factory=set)


class Allocator:
    """Lease shares of what ``source`` provides to children.

    A child's share grows only into what is not kept back for others.
    ``has_leaves`` means that the children admit requests themselves: a
    new incarnation of such a child then holds nothing of its earlier
    one's. A child that leases on keeps what its children may hold.
    """

    def __init__(
        self,
        parent: str,
        epoch: int,
        source: CapacitySource,
        *,
        has_leaves: bool,
    ) -> None:
        self._parent = parent
        self._epoch = epoch
        self._source = source
        self._has_leaves = has_leaves
        self._children: dict[str, _Child] = {}
        self._pools: dict[str, Pool] = {}
        self._purge_at = 0.0

    @property
    def tenants(self) -> Iterable[str]:
        """Return the tenants that children hold or want shares of."""
        return self._pools.keys()

    def pool(self, tenant: str, now: float) -> Pool:
        """Return a tenant's pool, with what has accrued until now."""
        pool = self._pools.get(tenant)
        if pool is None:
            pool = self._pools[tenant] = Pool(now)
        pool.settle(self._source.capacity(tenant, now), now)
        return pool

    def maybe_pool(self, tenant: str, now: float) -> Pool | None:
        """Return a tenant's pool, if there is one."""
        return self.pool(tenant, now) if tenant in self._pools else None

    def handle(
        self, report: QuotaReport, now: float, *, can_ask: bool = False
    ) -> QuotaGrant | None:
        """Return the answer to a report, or ``None`` to an old one.

        With ``can_ask``, tokens that are not here may come from above,
        so that the child is not told to wait.
        """
        target = 0 if self._has_leaves else self._epoch
        child = self._admit_child(report) if report.target == target else None
        if child is None:
            return None
        key = self._key(report.child, report.incarnation)
        is_ours = (report.parent, report.epoch) == (self._parent, self._epoch)
        for claim in report.claims:
            pool = self.pool(claim.tenant, now)
            self._record(pool, key, claim, now, is_ours=is_ours)
            pool.settle(self._source.capacity(claim.tenant, now), now)
        child.waiting.clear()
        return self._answer(
            child,
            key,
            tuple(claim.tenant for claim in report.claims),
            now,
            can_ask=can_ask,
        )

    def serve_waiting(
        self, now: float, denied: Collection[str] = ()
    ) -> list[tuple[str, QuotaGrant]]:
        """Return further answers to children that wait for tokens.

        They get the tokens that have come since, and for the tenants
        in ``denied`` an answer without any.
        """
        answers = []
        for name, child in self._children.items():
            if not child.waiting:
                continue
            key = self._key(name, child.incarnation)
            tenants = tuple(
                tenant
                for tenant in child.waiting
                if tenant in denied or self._is_ready(tenant, key, now)
            )
            child.waiting.difference_update(tenants)
            grant = self._answer(child, key, tenants, now, can_ask=False)
            if grant is not None:
                answers.append((name, grant))
        return answers

    def _is_ready(self, tenant: str, key: str, now: float) -> bool:
        pool = self.pool(tenant, now)
        wanted = pool.reservation(key).wanted_at(now)
        if wanted <= 0.0:
            return True
        whole = self._source.capacity(tenant, now).whole
        return min(pool.level, self._gift_limit(pool, key, whole, now)) >= 1.0

    def _gift_limit(
        self, pool: Pool, key: str, whole: Quota, now: float
    ) -> float:
        """Return how many more tokens a child may be given."""
        if self._has_leaves or is_split(whole):
            return float("inf")
        name = key.rpartition("/")[0]
        held = sum(
            reservation.burst_at(now)
            for other, reservation in pool.reservations.items()
            if other.rpartition("/")[0] == name
        )
        return unsplit_limit(whole) - held

    def fill(self, tenants: Iterable[str], now: float) -> None:
        """Let the pools of ``tenants`` fill before there is demand."""
        for tenant in tenants:
            self.pool(tenant, now)

    def purge(self, now: float) -> None:
        """Drop the pools that have ended, at times.

        Other calls update the pool that they use.
        """
        if now >= self._purge_at:
            self._purge_at = now + PURGE_SECONDS
            ended = [t for t, p in self._pools.items() if p.is_over(now)]
            for tenant in ended:
                del self._pools[tenant]

    def _key(self, child: str, incarnation: int) -> str:
        return child if self._has_leaves else f"{child}/{incarnation}"

    def _admit_child(self, report: QuotaReport) -> _Child | None:
        child = self._children.get(report.child)
        if child is None or report.incarnation > child.incarnation:
            if child is not None and self._has_leaves:
                for pool in self._pools.values():
                    pool.reservations.pop(report.child, None)
            grant_number = 0 if child is None else child.grant_number
            child = _Child(report.incarnation, grant_number=grant_number)
            self._children[report.child] = child
        elif report.incarnation < child.incarnation:
            return None
        if report.number <= child.report_number:
            return None
        child.report_number = report.number
        return child

    def _record(
        self,
        pool: Pool,
        key: str,
        claim: QuotaClaim,
        now: float,
        *,
        is_ours: bool,
    ) -> None:
        is_new = key not in pool.reservations
        reservation = pool.reservation(key)
        reservation.note(claim, now)
        if is_ours and claim.applied >= 0:
            reservation.confirm(claim)
            pool.level += claim.returned / UNIT
        elif is_new and not self._has_leaves:
            whole = Quota(claim.whole_rate / UNIT, claim.whole_burst / UNIT)
            rate, burst = claim.rate / UNIT, claim.burst / UNIT
            if self._source.adopt(claim.tenant, rate, burst, whole):
                reservation.adopt(claim, now)

    def _answer(
        self,
        child: _Child,
        key: str,
        tenants: tuple[str, ...],
        now: float,
        *,
        can_ask: bool,
    ) -> QuotaGrant | None:
        number = child.grant_number + 1
        shares = []
        for tenant in tenants:
            share = self._share(tenant, key, number, now, can_ask=can_ask)
            if share is None:
                if can_ask:
                    child.waiting.add(tenant)
                continue
            shares.append(share)
            reservation = self._pools[tenant].reservations[key]
            if reservation.wanted_at(now) > 0 and not share.retry_ms:
                child.waiting.add(tenant)
        if not shares:
            return None
        child.grant_number = number
        return QuotaGrant(
            self._parent,
            self._epoch,
            number,
            child.report_number,
            tuple(shares),
        )

    def _share(
        self, tenant: str, key: str, number: int, now: float, *, can_ask: bool
    ) -> QuotaShare | None:
        capacity = self._source.capacity(tenant, now)
        if capacity.half_seconds < MIN_LEASE_SECONDS:
            return None
        pool = self.pool(tenant, now)
        reservation = pool.reservation(key)
        demand = pool.demand(now)
        part = divide(
            capacity,
            reservation.demand_at(now),
            demand,
            is_leaf=self._has_leaves,
        )
        held_burst = reservation.burst_at(now)
        free = free_part(capacity, pool, reservation, now)
        rate = round_down(max(0.0, min(part.rate, free.rate)))
        burst = round_down(max(0.0, min(part.burst, free.burst)))
        if burst < UNIT or rate == 0:
            # Less than a whole token never admits a request.
            rate = burst = 0
        tokens, excess = take_tokens(
            pool,
            reservation,
            burst,
            held_burst,
            capacity.burst
            + capacity.excess
            - pool.reserved_burst(now)
            + held_burst,
            now,
            self._gift_limit(pool, key, capacity.whole, now),
        )
        full_seconds = capacity.full_seconds
        reservation.grant(
            number,
            rate / UNIT,
            burst / UNIT,
            excess / UNIT,
            tokens / UNIT,
            now + full_seconds,
            now + capacity.half_seconds,
        )
        pool.limit(capacity, now)
        retry = 0.0
        if reservation.wanted_at(now) > 0 and not can_ask:
            retry = retry_seconds(pool, demand, capacity)
        return QuotaShare(
            tenant,
            rate,
            burst,
            excess,
            tokens,
            round_up(capacity.whole.rate),
            round_up(capacity.whole.burst),
            int(full_seconds * _MS),
            int(capacity.half_seconds * _MS),
            round(retry * _MS),
        )

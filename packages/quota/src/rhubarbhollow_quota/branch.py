"""A control instance's shares, leased from the leader and to nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_quota.allocator import Allocator
from rhubarbhollow_quota.capacity import NO_CAPACITY, Capacity
from rhubarbhollow_quota.lease import NEVER, ShareLease
from rhubarbhollow_quota.messages import (
    UNIT,
    QuotaClaim,
    round_down,
    round_up,
)
from rhubarbhollow_quota.quota import NO_QUOTA, Quota, shrink_factor
from rhubarbhollow_quota.reporter import Reporter
from rhubarbhollow_quota.timing import FULL_SECONDS, HALF_SECONDS

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from rhubarbhollow_quota.messages import (
        QuotaGrant,
        QuotaReport,
        QuotaShare,
    )
    from rhubarbhollow_quota.pool import Pool

Sent = list[tuple[str, "QuotaGrant"]]


class QuotaBranch:
    """Hold leases of the leader and lease parts of them to nodes.

    Its lease of a tenant counts what its nodes may hold, so that the
    leader frees a reduced share only once the nodes have confirmed.
    """

    def __init__(self, name: str, incarnation: int) -> None:
        self._leases: dict[str, ShareLease] = {}
        # Tokens beyond the leases' bursts, until they are spent.
        self._excess: dict[str, float] = {}
        self._quotas: Mapping[str, Quota] = {}
        self.allocator = Allocator(name, incarnation, self, has_leaves=True)
        self.reporter = Reporter(name, incarnation, self)

    def set_quotas(self, quotas: Mapping[str, Quota]) -> None:
        """Use the quotas of the release in force."""
        self._quotas = quotas
        for tenant, lease in self._leases.items():
            lease.rescale(quotas.get(tenant, NO_QUOTA))

    def capacity(self, tenant: str, now: float) -> Capacity:
        """Return what may be leased to nodes."""
        lease = self._lease(tenant, now)
        if lease is None:
            return NO_CAPACITY
        left = lease.half_until - now
        full = left if lease.is_half else lease.full_until - now
        return Capacity(
            lease.rate,
            lease.burst,
            lease.whole,
            min(FULL_SECONDS, full),
            min(HALF_SECONDS, left),
            NEVER if lease.is_half else lease.full_until,
            self._excess.get(tenant, 0.0),
        )

    def adopt(
        self, tenant: str, rate: float, burst: float, whole: Quota
    ) -> bool:
        """Refuse: leases of other instances are not part of its own."""
        del tenant, rate, burst, whole
        return False

    def handle_report(
        self, report: QuotaReport, now: float, *, can_ask: bool
    ) -> QuotaGrant | None:
        """Return the answer to a node's report.

        With ``can_ask``, tokens that are missing are asked of the
        leader and sent by ``handle_grant`` or ``settle``.
        """
        asked = [
            self.reporter.want(claim.tenant, now)
            for claim in report.claims
            if can_ask and claim.wanted and self._is_short(claim, now)
        ]
        is_askable = bool(asked) and all(asked)
        return self.allocator.handle(report, now, can_ask=is_askable)

    def handle_grant(self, grant: QuotaGrant, now: float) -> Sent:
        """Apply a grant of the leader; return what waits for it."""
        sent_at = self.reporter.accept(grant, now)
        if sent_at is None:
            return []
        for share in grant.shares:
            self._apply(share, grant, sent_at, now)
        denied = [s.tenant for s in grant.shares if s.retry_ms]
        return self.allocator.serve_waiting(now, denied)

    def poll(self, now: float) -> QuotaReport | None:
        """Return the report to the leader that is due, if one is."""
        self.allocator.purge(now)
        return self.reporter.poll(now)

    def tenants(self) -> Iterable[str]:
        """Return the tenants with a share or demand."""
        return self._leases.keys() | set(self.allocator.tenants)

    def demand(self, tenant: str, now: float) -> float:
        """Return the demand of all nodes, per second."""
        pool = self.allocator.maybe_pool(tenant, now)
        return 0.0 if pool is None else pool.demand(now)

    def held(self, tenant: str, now: float) -> float:
        """Return the tokens held here and by nodes, or due to them."""
        lease = self._lease(tenant, now)
        burst = 0.0 if lease is None else lease.burst
        pool = self.allocator.maybe_pool(tenant, now)
        if pool is None:
            return burst
        return max(burst, pool.reserved_burst(now) + pool.level)

    def claim(self, tenant: str, now: float) -> QuotaClaim:
        """Return what to report of a tenant."""
        pool = self.allocator.pool(tenant, now)
        lease = self._leases.setdefault(tenant, ShareLease())
        demand = pool.demand(now)
        if demand <= 0.0:
            lease.give_up()
        returned = self._return_surplus(tenant, pool, lease, now)
        reserved_rate = pool.reserved_rate(now)
        reserved_burst = pool.reserved_burst(now)
        rate = max(lease.rate, reserved_rate)
        burst = max(lease.burst, reserved_burst + pool.level)
        edge = max(now, lease.full_until)
        is_half = lease.is_half or (
            pool.reserved_rate(edge) > rate / 2
            or pool.reserved_burst(edge) > burst / 2
        )
        wanted = sum(r.wanted_at(now) for r in pool.reservations.values())
        return QuotaClaim(
            tenant,
            round_up(demand),
            round_up(wanted),
            round_up(rate),
            round_up(burst),
            round_down(pool.level + reserved_burst),
            returned,
            round_up(lease.whole.rate),
            round_up(lease.whole.burst),
            # A lease of an earlier leader has to be adopted first.
            lease.applied if lease.epoch == self.reporter.epoch else -1,
            is_half,
        )

    def _is_short(self, claim: QuotaClaim, now: float) -> bool:
        pool = self.allocator.pool(claim.tenant, now)
        return pool.level < claim.wanted / UNIT

    def _return_surplus(
        self, tenant: str, pool: Pool, lease: ShareLease, now: float
    ) -> int:
        """Give back tokens for which there is no leased room."""
        total = pool.level + pool.reserved_burst(now)
        surplus = round_down(min(pool.level, total - lease.burst))
        pool.level -= surplus / UNIT
        self._excess[tenant] = max(
            0.0, pool.level + pool.reserved_burst(now) - lease.burst
        )
        return surplus

    def _apply(
        self, share: QuotaShare, grant: QuotaGrant, sent_at: float, now: float
    ) -> None:
        tenant = share.tenant
        pool = self.allocator.pool(tenant, now)
        lease = self._leases.get(tenant)
        if lease is None or lease.epoch != grant.epoch:
            # A new leader has counted the earlier lease as its own.
            earlier, lease = lease, ShareLease()
            if earlier is not None:
                lease.rate, lease.burst = earlier.rate, earlier.burst
            lease.epoch = grant.epoch
            self._leases[tenant] = lease
        if grant.number <= lease.applied:
            return
        rate, burst = lease.rate, lease.burst
        quota = self._quotas.get(tenant, NO_QUOTA)
        lease.apply(share, grant.number, sent_at, quota)
        if lease.rate < rate or lease.burst < burst:
            self.reporter.note_shrunk(tenant)
        factor = shrink_factor(share.whole_burst / UNIT, quota.burst)
        limit = (share.burst + share.excess) / UNIT * factor
        reserved = pool.reserved_burst(now)
        added = share.tokens / UNIT * factor
        pool.level = max(pool.level, min(pool.level + added, limit - reserved))
        self._excess[tenant] = max(0.0, pool.level + reserved - lease.burst)
        pool.limit(self.capacity(tenant, now), now)

    def _lease(self, tenant: str, now: float) -> ShareLease | None:
        lease = self._leases.get(tenant)
        if lease is None:
            return None
        while lease.next_edge <= now:
            lease.fall()
            self._excess.pop(tenant, None)
        return lease if lease.is_live(now) else None

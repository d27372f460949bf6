"""The whole quota of each tenant, at the leader of the release log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_quota.capacity import NO_CAPACITY, Capacity
from rhubarbhollow_quota.division import unsplit_limit
from rhubarbhollow_quota.quota import NO_QUOTA, Quota, shrink_factor
from rhubarbhollow_quota.timing import FULL_SECONDS, HALF_SECONDS

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping


class RootCapacity:
    """Provide whole quotas, less what earlier leaders may have leased.

    Leases of an earlier leader are full for ten seconds after this one
    began and worth half until the sixtieth. Until then, only what
    children report to hold and what has lapsed can be leased. A tenant
    that had no quota when this leader began is free at once. Of those
    in ``unsplit`` no rate was leased, and each of the ``controls`` may
    hold a few tokens.
    """

    def __init__(
        self,
        quotas: Mapping[str, Quota],
        inherited: Collection[str],
        began_at: float,
        unsplit: Collection[str] = (),
        controls: int = 0,
    ) -> None:
        self._quotas = quotas
        self._inherited = frozenset(inherited)
        self._began_at = began_at
        self._unsplit = frozenset(unsplit)
        self._controls = controls
        self._adopted: dict[str, Quota] = {}

    def set_quotas(self, quotas: Mapping[str, Quota]) -> None:
        """Use the quotas of another release from now on."""
        self._quotas = quotas

    def capacity(self, tenant: str, now: float) -> Capacity:
        """Return what may be leased of a tenant's quota."""
        whole = self._quotas.get(tenant)
        if whole is None:
            return NO_CAPACITY
        if tenant in self._unsplit:
            return self._unsplit_capacity(whole, now)
        unknown = self._unknown_share(tenant, now)
        adopted = self._adopted.get(tenant, NO_QUOTA)
        return Capacity(
            whole.rate - unknown * max(0.0, whole.rate - adopted.rate),
            whole.burst - unknown * max(0.0, whole.burst - adopted.burst),
            whole,
            FULL_SECONDS,
            HALF_SECONDS,
        )

    def adopt(
        self, tenant: str, rate: float, burst: float, whole: Quota
    ) -> bool:
        """Count what a child holds from an earlier leader."""
        quota = self._quotas.get(tenant, NO_QUOTA)
        adopted = self._adopted.get(tenant, NO_QUOTA)
        self._adopted[tenant] = Quota(
            adopted.rate + rate * shrink_factor(whole.rate, quota.rate),
            adopted.burst + burst * shrink_factor(whole.burst, quota.burst),
        )
        return True

    def _unsplit_capacity(self, whole: Quota, now: float) -> Capacity:
        held = 0
        if now - self._began_at < FULL_SECONDS:
            held = self._controls * unsplit_limit(whole)
        burst = max(0.0, whole.burst - held)
        return Capacity(whole.rate, burst, whole, FULL_SECONDS, HALF_SECONDS)

    def _unknown_share(self, tenant: str, now: float) -> float:
        """Return the share of unreported leases that may be live."""
        age = now - self._began_at
        if tenant not in self._inherited or age >= HALF_SECONDS:
            return 0.0
        return 1.0 if age < FULL_SECONDS else 0.5

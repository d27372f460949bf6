"""The quotas that releases name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

from rhubarbhollow_quota.quota import Quota
from rhubarbhollow_quota.tolerance import NO_TOLERANCE, QuotaTolerance
from rhubarbhollow_release.resource_kind import ResourceKind
from rhubarbhollow_release.tenant_entry import TenantEntry

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from rhubarbhollow_release.ledger import ReleaseLedger
    from rhubarbhollow_release.resource_set import ResourceSet
    from rhubarbhollow_tenants.tenant import Tenant


def quota_of(
    rate: float, burst: float, tolerance: QuotaTolerance = NO_TOLERANCE
) -> Quota:
    """Return the quota to enforce.

    Without a burst, it is that of a second's rate.
    """
    quota = Quota(rate, max(1.0, burst if burst > 0.0 else rate))
    return tolerance.enforced(quota)


def quotas_of_tenants(
    tenants: Iterable[Tenant], tolerance: QuotaTolerance = NO_TOLERANCE
) -> dict[str, Quota]:
    """Return the quotas of the tenants with a limit, by name."""
    return {
        tenant.name: quota_of(tenant.rate, tenant.burst, tolerance)
        for tenant in tenants
        if tenant.rate > 0.0
    }


def quotas_of_resources(
    resources: ResourceSet, tolerance: QuotaTolerance = NO_TOLERANCE
) -> dict[str, Quota]:
    """Return the quotas in a release's resources, by tenant name."""
    quotas = {}
    for resource in resources.resources:
        if resource.kind is not ResourceKind.TENANT:
            continue
        match resource.item:
            case Ok(TenantEntry() as entry) if entry.rate > 0.0:
                quotas[entry.display_name] = quota_of(
                    entry.rate, entry.burst, tolerance
                )
            case _:
                pass
    return quotas


def past_quotas(
    ledger: ReleaseLedger, tolerance: QuotaTolerance = NO_TOLERANCE
) -> Mapping[str, set[Quota]]:
    """Return the quotas of each tenant in every retained release.

    An earlier leader may have leased parts of any of them.
    """
    past: dict[str, set[Quota]] = {}
    for record in ledger.records:
        resources = ledger.resources_at(record.position)
        if resources is None:
            continue
        for name, quota in quotas_of_resources(resources, tolerance).items():
            past.setdefault(name, set()).add(quota)
    return past

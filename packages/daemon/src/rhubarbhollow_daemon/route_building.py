"""Conversion of a release into the route table of the call path."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.call_route import CallRoute
from rhubarbhollow_calls.io_snapshot import Snapshot
from rhubarbhollow_calls.route_table import RouteTable
from rhubarbhollow_release.priority import Priority
from rhubarbhollow_release.retry_policy import RetryPolicy
from rhubarbhollow_tenants.directory import NO_TENANTS, TenantDirectory
from rhubarbhollow_tenants.tenant import Tenant

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from rhubarbhollow_distribution.held_release import HeldRelease
    from rhubarbhollow_release.manifest import Manifest
    from rhubarbhollow_release.route import Route
    from rhubarbhollow_release.service import Service
    from rhubarbhollow_release.tenant_entry import TenantEntry

MS_PER_SECOND: Final = 1000
# The policy of routes that name none: a single attempt.
NO_RETRIES: Final = RetryPolicy("", 1, 0.0)


class SnapshotBuilder:
    """Convert each release into a snapshot of the call path.

    Routes that a release shares with the one before are not converted
    again: a change of a large release costs about what it changes.
    """

    def __init__(self) -> None:
        self._manifest: Manifest | None = None
        self._table = RouteTable(0, ())
        self._tenants = NO_TENANTS

    def build(self, release: HeldRelease) -> Snapshot:
        """Return the route table of a release with its position."""
        manifest, position = release.manifest, release.position
        previous = self._manifest
        if previous is not None and _has_same_services(previous, manifest):
            table = self._change_table(previous, manifest, position)
        else:
            routes = _build_routes(manifest, manifest.routes)
            table = RouteTable(position, routes)
        tenants = self._tenants
        if previous is None or _tenants_of(previous) != _tenants_of(manifest):
            tenants = TenantDirectory(
                map(_build_tenant, manifest.tenants),
                requires_keys=manifest.requires_keys,
            )
        # Replaced together, so that a release that cannot be converted
        # changes nothing.
        self._manifest, self._table, self._tenants = manifest, table, tenants
        return Snapshot(position, table, tenants)

    def _change_table(
        self, previous: Manifest, manifest: Manifest, position: int
    ) -> RouteTable:
        before = {route.name: route for route in previous.routes}
        # Releases share the objects of unchanged routes, as a rule.
        changed = [
            route
            for route in manifest.routes
            if (old := before.pop(route.name, None)) is not route
            and old != route
        ]
        upserts = _build_routes(manifest, changed)
        return self._table.change(position, before, upserts)


def _has_same_services(first: Manifest, second: Manifest) -> bool:
    return (first.services, first.retry_policies) == (
        second.services,
        second.retry_policies,
    )


def _tenants_of(
    manifest: Manifest,
) -> tuple[tuple[TenantEntry, ...], bool]:
    return (manifest.tenants, manifest.requires_keys)


def _build_routes(
    manifest: Manifest, routes: Iterable[Route]
) -> tuple[CallRoute, ...]:
    policies = {policy.name: policy for policy in manifest.retry_policies}
    services = {service.name: service for service in manifest.services}
    return tuple(_build_route(route, policies, services) for route in routes)


def find_latency_objectives(release: HeldRelease) -> Mapping[str, float]:
    """Return the latency objectives, in seconds by service name.

    Services without one are absent.
    """
    return {
        service.name: service.objectives.latency_ms / MS_PER_SECOND
        for service in release.manifest.services
        if service.objectives is not None
        and service.objectives.latency_ms is not None
    }


def _build_route(
    route: Route,
    policies: Mapping[str, RetryPolicy],
    services: Mapping[str, Service],
) -> CallRoute:
    policy = policies.get(route.retry_policy or "", NO_RETRIES)
    return CallRoute(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        service=route.service,
        timeout_ms=route.timeout_ms,
        attempts=policy.attempts,
        budget_ratio=policy.budget_ratio,
        priority=_priority(route.priority),
        is_idempotent=route.is_idempotent,
        fallbacks=tuple(_follow_fallbacks(route.service, services)),
        splits=tuple(
            (split.service, split.weight)
            for split in route.splits
            if split.weight > 0
        ),
        rank=route.rank or 0,
        latency_seconds=(
            None
            if route.latency_ms is None
            else route.latency_ms / MS_PER_SECOND
        ),
        is_public=route.is_public,
    )


def _build_tenant(entry: TenantEntry) -> Tenant:
    return Tenant(
        name=entry.display_name,
        priority=entry.priority,
        rate=entry.rate,
        burst=entry.burst,
        key_digests=tuple(map(bytes.fromhex, entry.key_digests)),
    )


def _follow_fallbacks(
    service: str,
    services: Mapping[str, Service],
) -> Iterator[str]:
    """Yield the chain of fallback services.

    The chain ends, since an accepted release has no cycles.
    """
    fallback = services[service].fallback
    while fallback is not None:
        yield fallback
        fallback = services[fallback].fallback


def _priority(priority: Priority) -> CallPriority:
    match priority:
        case Priority.INTERACTIVE:
            return CallPriority.INTERACTIVE
        case Priority.BULK:
            return CallPriority.BULK

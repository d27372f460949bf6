"""The endpoints of services whose versions differ."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_calls.service_evidence import ServiceEvidence

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Mapping

    from rhubarbhollow_calls.upstream_evidence import UpstreamEvidence
    from rhubarbhollow_calls.version_policy import VersionPolicy


class VersionGroups:
    """Choose which endpoints of a service a call may go to.

    Services whose endpoints are of one version are not held here. A
    repeated call goes to the stable version, so that a bad one does not
    get the same call again.
    """

    def __init__(self, policy: VersionPolicy) -> None:
        self._policy = policy
        self._stable: dict[str, ServiceEvidence] = {}
        self._new: dict[str, ServiceEvidence] = {}

    def rebuild(self, services: Mapping[str, ServiceEvidence]) -> None:
        """Divide the endpoints of all services anew."""
        self._stable = {}
        self._new = {}
        for service, members in services.items():
            up = tuple(
                evidence for evidence in members.all if not evidence.is_leaving
            )
            endpoints = tuple(evidence.endpoint for evidence in up)
            division = self._policy.divide(service, endpoints)
            if division is None:
                continue
            stable, new = division
            self._stable[service] = _only(up, stable)
            if new:
                self._new[service] = _only(up, new)

    def candidates(
        self, service: str, excluded: Collection[str]
    ) -> Iterator[ServiceEvidence]:
        """Yield the groups of endpoints to choose from, best first.

        Nothing is yielded for a service that is not divided.
        """
        stable = self._stable.get(service)
        if stable is None:
            return
        new = self._new.get(service)
        if new is not None and not excluded and self._policy.take(service):
            yield new
            self._policy.give_back(service)
        yield stable

    def is_divided(self, service: str) -> bool:
        """Return whether the endpoints of a service are divided."""
        return service in self._stable

    def update_steady_at(self, service: str) -> None:
        """Recompute the time from which a service is steady."""
        for groups in (self._stable, self._new):
            members = groups.get(service)
            if members is not None:
                members.update_steady_at()


def _only(
    members: tuple[UpstreamEvidence, ...], names: frozenset[str]
) -> ServiceEvidence:
    return ServiceEvidence(
        tuple(
            evidence for evidence in members if evidence.endpoint.name in names
        )
    )

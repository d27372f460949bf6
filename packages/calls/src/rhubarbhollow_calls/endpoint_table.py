"""An immutable table of the known endpoints, indexed by service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_calls.invariant import InvariantViolation

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_calls.endpoint import Endpoint


class DuplicateEndpoint(InvariantViolation):
    """Raised when two endpoints of one table have the same name."""


class EndpointTable:
    """Hold the endpoints of one version; immutable."""

    __slots__ = ("_by_name", "_by_service", "_version")

    def __init__(self, version: int, endpoints: Iterable[Endpoint]) -> None:
        self._version = version
        self._by_name: dict[str, Endpoint] = {}
        grouped: dict[str, list[Endpoint]] = {}
        for endpoint in endpoints:
            if endpoint.name in self._by_name:
                raise DuplicateEndpoint(
                    f"duplicate endpoint {endpoint.name!r} in table"
                    f" version {version}"
                )
            self._by_name[endpoint.name] = endpoint
            grouped.setdefault(endpoint.service, []).append(endpoint)
        self._by_service = {
            service: tuple(members) for service, members in grouped.items()
        }

    @property
    def version(self) -> int:
        """Return the version of the table."""
        return self._version

    @property
    def services(self) -> tuple[str, ...]:
        """Return the names of the services with endpoints."""
        return tuple(self._by_service)

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return all endpoints."""
        return tuple(self._by_name.values())

    def of_service(self, service: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of ``service``, or an empty tuple."""
        return self._by_service.get(service, ())

    def named(self, name: str) -> Endpoint | None:
        """Return the endpoint named ``name``, or ``None``."""
        return self._by_name.get(name)

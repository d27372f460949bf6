"""The service-level burn report as tables."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_cli.table import format_table
from rhubarbhollow_cli.view import View, rows_of

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

_SERVICES: Final = View(
    "services",
    (
        "service",
        "state",
        "availability",
        "availability_remaining",
        "latency_ms",
        "latency_ratio",
        "latency_remaining",
    ),
)
_WINDOW_COLUMNS: Final = (
    "service",
    "scope",
    "name",
    "window",
    "calls",
    "failed",
    "late",
    "availability_burn",
    "latency_burn",
)


class BurnView:
    """Show a table of services, then one of all windows.

    A service's own windows come before those of its routes, upstreams
    and releases.
    """

    def format(self, document: Mapping[str, object]) -> str:
        """Return the tables, without the second one if it is empty."""
        services = _SERVICES.format(document)
        windows = [
            window
            for service in rows_of(document.get("services"))
            for window in _windows_of(service)
        ]
        if not windows:
            return services
        return f"{services}\n\n{format_table(_WINDOW_COLUMNS, windows)}"


def _windows_of(
    service: Mapping[str, object],
) -> Iterator[Mapping[str, object]]:
    name = service.get("service")
    whole = {"scope": "service", "name": name, **service}
    for part in (whole, *rows_of(service.get("parts"))):
        subject = {
            "service": name,
            "scope": part.get("scope"),
            "name": part.get("name"),
        }
        for window in rows_of(part.get("windows")):
            yield {**window, **subject}

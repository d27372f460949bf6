"""How loaded and how fast an upstream is, as its node reports it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MAX_NAME_CHARACTERS: Final = 600
MAX_MS: Final = 3_600_000
MAX_WORK_PERCENT: Final = 10_000
MAX_ROUTES: Final = 64


@dataclass(frozen=True, slots=True)
class RouteTime:
    """Average slot time of a route's calls, at the usual speed."""

    route: str
    service_ms: int


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Describe one upstream at one moment.

    ``interactive_ms`` and ``bulk_ms`` are the expected waits for a slot
    by priority. ``work_percent`` is how long work takes there now; 100
    is as usual, and 0 stands for an unknown value. ``times`` holds only
    the routes whose average has changed since the last report.
    """

    name: str
    interactive_ms: int
    bulk_ms: int
    work_percent: int
    times: tuple[RouteTime, ...] = ()


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Carry loads from a node to a control instance, and back."""

    loads: tuple[UpstreamLoad, ...]


def is_usable(load: UpstreamLoad) -> bool:
    """Return whether the numbers of a received load are in range."""
    numbers = (
        (load.interactive_ms, MAX_MS),
        (load.bulk_ms, MAX_MS),
        (load.work_percent, MAX_WORK_PERCENT),
        *((time.service_ms, MAX_MS) for time in load.times),
    )
    return (
        0 < len(load.name) <= MAX_NAME_CHARACTERS
        and len(load.times) <= MAX_ROUTES
        and all(0 <= number <= limit for number, limit in numbers)
    )

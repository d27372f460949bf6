"""The service-level burn report as a document."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.burn import burn_rate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_daemon.messages import BurnCount
    from rhubarbhollow_release.manifest import Manifest
    from rhubarbhollow_release.objectives import Objectives
    from rhubarbhollow_release.service import Service

WINDOW_NAMES: Final = {300: "5m", 3_600: "1h", 21_600: "6h", 259_200: "3d"}
LONGEST_WINDOW: Final = "3d"
# Two windows burn fast together only while the cause is still there.
FAST_BURN_RATE: Final = 14.4
SLOW_BURN_RATE: Final = 6.0


@dataclass(frozen=True, slots=True)
class WindowDocument:
    """Show one window; a rate of 1 uses up the budget just in time."""

    window: str
    calls: int
    failed: int
    late: int
    availability_burn: float | None
    latency_burn: float | None


@dataclass(frozen=True, slots=True)
class PartDocument:
    """Show what a route, upstream or release adds to the burn."""

    scope: str
    name: str
    windows: tuple[WindowDocument, ...]


@dataclass(frozen=True, slots=True)
class ServiceDocument:
    """Show a service's objectives, windows and remaining budgets."""

    service: str
    availability: float | None
    latency_ms: int | None
    latency_ratio: float | None
    state: str
    availability_remaining: float | None
    latency_remaining: float | None
    windows: tuple[WindowDocument, ...]
    parts: tuple[PartDocument, ...]


@dataclass(frozen=True, slots=True)
class BurnDocument:
    """List the services of the release in force."""

    position: int
    nodes: int
    services: tuple[ServiceDocument, ...]


def build_burn(
    manifest: Manifest,
    position: int,
    nodes: int,
    counts: Iterable[BurnCount],
) -> BurnDocument:
    """Return the report of summed counts by the objectives."""
    listed = tuple(counts)
    return BurnDocument(
        position,
        nodes,
        tuple(_service(service, listed) for service in manifest.services),
    )


def _service(
    service: Service,
    counts: tuple[BurnCount, ...],
) -> ServiceDocument:
    objectives = service.objectives
    own = [one for one in counts if one.service == service.name]
    windows = _windows(own, "service", service.name, objectives)
    parts = sorted(
        {
            (one.scope, one.name)
            for one in own
            if one.scope != "service" and one.calls
        }
    )
    longest = next(
        (one for one in windows if one.window == LONGEST_WINDOW),
        None,
    )
    return ServiceDocument(
        service=service.name,
        availability=objectives.availability if objectives else None,
        latency_ms=objectives.latency_ms if objectives else None,
        latency_ratio=objectives.latency_ratio if objectives else None,
        state=_state(windows),
        availability_remaining=_remaining(
            longest.availability_burn if longest else None,
        ),
        latency_remaining=_remaining(
            longest.latency_burn if longest else None,
        ),
        windows=windows,
        parts=tuple(
            PartDocument(scope, name, _windows(own, scope, name, objectives))
            for scope, name in parts
        ),
    )


def _windows(
    counts: Iterable[BurnCount],
    scope: str,
    name: str,
    objectives: Objectives | None,
) -> tuple[WindowDocument, ...]:
    return tuple(
        _window(one, objectives)
        for one in sorted(counts, key=lambda count: count.window_seconds)
        if one.scope == scope and one.name == name
    )


def _window(count: BurnCount, objectives: Objectives | None) -> WindowDocument:
    availability = objectives.availability if objectives else None
    latency = objectives.latency_ratio if objectives else None
    answered = count.calls - count.failed
    return WindowDocument(
        window=WINDOW_NAMES[count.window_seconds],
        calls=count.calls,
        failed=count.failed,
        late=count.late,
        availability_burn=_rate(count.failed, count.calls, availability),
        latency_burn=_rate(count.late, answered, latency),
    )


def _rate(bad: int, total: int, target: float | None) -> float | None:
    if target is None or target >= 1:
        return None
    return round(burn_rate(bad, total, target), 3)


def _remaining(burn: float | None) -> float | None:
    return None if burn is None else round(1 - burn, 3)


def _state(windows: tuple[WindowDocument, ...]) -> str:
    rates = {
        one.window: max(one.availability_burn or 0, one.latency_burn or 0)
        for one in windows
    }
    if min(rates.get("5m", 0), rates.get("1h", 0)) >= FAST_BURN_RATE:
        return "fast_burn"
    if min(rates.get("1h", 0), rates.get("6h", 0)) >= SLOW_BURN_RATE:
        return "slow_burn"
    return "ok"

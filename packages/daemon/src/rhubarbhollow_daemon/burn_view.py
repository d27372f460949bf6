"""The error budget burn report as a JSON document."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.burn import burn_rate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_daemon.node_messages import BurnCount
    from rhubarbhollow_release.manifest import Manifest
    from rhubarbhollow_release.objectives import Objectives
    from rhubarbhollow_release.service import Service

# The names of the windows by their length in seconds.
WINDOW_NAMES: Final = {300: "5m", 3_600: "1h", 21_600: "6h", 259_200: "3d"}
LONGEST_WINDOW: Final = "3d"
# A state needs both of its windows at or above the rate: the shorter
# one falls back soon after the cause is gone, so that a past incident
# alone does not keep the state raised.
FAST_BURN_RATE: Final = 14.4
SLOW_BURN_RATE: Final = 6.0


@dataclass(frozen=True, slots=True)
class WindowDocument:
    """Hold the counts and burn rates of one window.

    A burn rate of 1 uses up the budget exactly at the end of the
    objective's period; it is ``None`` without an objective.
    """

    window: str
    calls: int
    failed: int
    late: int
    availability_burn: float | None
    latency_burn: float | None


@dataclass(frozen=True, slots=True)
class PartDocument:
    """Hold the windows of one route, upstream or position."""

    scope: str
    name: str
    windows: tuple[WindowDocument, ...]


@dataclass(frozen=True, slots=True)
class ServiceDocument:
    """Hold a service's objectives, windows and remaining budgets.

    Budgets are fractions and negative once overspent; fields without
    an objective are ``None``. ``state`` is "ok", "slow_burn" or
    "fast_burn".
    """

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
    """Hold the report on every service of the release in force."""

    position: int
    nodes: int
    services: tuple[ServiceDocument, ...]


def build_burn_report(
    manifest: Manifest,
    position: int,
    nodes: int,
    counts: Iterable[BurnCount],
) -> BurnDocument:
    """Return the report on the manifest's services.

    ``nodes`` is the number of known nodes; ``counts`` are the sums over
    those that answered.
    """
    listed = tuple(counts)
    return BurnDocument(
        position,
        nodes,
        tuple(
            _build_service(service, listed) for service in manifest.services
        ),
    )


def _build_service(
    service: Service,
    counts: tuple[BurnCount, ...],
) -> ServiceDocument:
    objectives = service.objectives
    own = [one for one in counts if one.service == service.name]
    windows = _build_windows(own, "service", service.name, objectives)
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
        state=_classify_burn(windows),
        availability_remaining=_remaining_budget(
            longest.availability_burn if longest else None,
        ),
        latency_remaining=_remaining_budget(
            longest.latency_burn if longest else None,
        ),
        windows=windows,
        parts=tuple(
            PartDocument(
                scope, name, _build_windows(own, scope, name, objectives)
            )
            for scope, name in parts
        ),
    )


def _build_windows(
    counts: Iterable[BurnCount],
    scope: str,
    name: str,
    objectives: Objectives | None,
) -> tuple[WindowDocument, ...]:
    return tuple(
        _build_window(one, objectives)
        for one in sorted(counts, key=lambda count: count.window_seconds)
        if one.scope == scope and one.name == name
    )


def _build_window(
    count: BurnCount, objectives: Objectives | None
) -> WindowDocument:
    availability = objectives.availability if objectives else None
    latency = objectives.latency_ratio if objectives else None
    answered = count.calls - count.failed
    return WindowDocument(
        window=WINDOW_NAMES[count.window_seconds],
        calls=count.calls,
        failed=count.failed,
        late=count.late,
        availability_burn=_burn_rate_for_target(
            count.failed, count.calls, availability
        ),
        latency_burn=_burn_rate_for_target(count.late, answered, latency),
    )


def _burn_rate_for_target(
    bad: int, total: int, target: float | None
) -> float | None:
    if target is None or target >= 1:
        return None
    return round(burn_rate(bad, total, target), 3)


def _remaining_budget(burn: float | None) -> float | None:
    return None if burn is None else round(1 - burn, 3)


def _classify_burn(windows: tuple[WindowDocument, ...]) -> str:
    rates = {
        one.window: max(one.availability_burn or 0, one.latency_burn or 0)
        for one in windows
    }
    if min(rates.get("5m", 0), rates.get("1h", 0)) >= FAST_BURN_RATE:
        return "fast_burn"
    if min(rates.get("1h", 0), rates.get("6h", 0)) >= SLOW_BURN_RATE:
        return "slow_burn"
    return "ok"

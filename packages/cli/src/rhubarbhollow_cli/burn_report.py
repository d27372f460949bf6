"""The service-level burn report as typed values."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from rhubarbhollow_cli.replies import ReplyFault

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from typing import TypeVar

    Item = TypeVar("Item")

SERVICE_SCOPE: Final = "service"


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Counts and burn rates of one time window.

    A burn rate of 1 uses up the error budget at the end of its period.
    A rate is ``None`` if the service has no such objective.
    """

    window: str
    calls: int
    failed: int
    late: int
    availability_burn: float | None
    latency_burn: float | None

    @property
    def bad(self) -> int:
        """Return the number of failed and late calls."""
        return self.failed + self.late

    @property
    def worst_burn(self) -> float | None:
        """Return the higher of the two rates, or ``None``."""
        rates = (self.availability_burn, self.latency_burn)
        return max((rate for rate in rates if rate is not None), default=None)


@dataclass(frozen=True, slots=True)
class BurnPart:
    """Windows of one route, upstream or release of a service."""

    scope: str
    name: str
    windows: tuple[WindowBurn, ...]

    def bad_in(self, window: str) -> int:
        """Return the number of bad calls in the window of that name."""
        return sum(each.bad for each in self.windows if each.window == window)


@dataclass(frozen=True, slots=True)
class ServiceBurn:
    """A service's objectives, remaining error budgets and windows."""

    name: str
    state: str
    availability: float | None
    latency_ms: float | None
    latency_ratio: float | None
    availability_remaining: float | None
    latency_remaining: float | None
    windows: tuple[WindowBurn, ...]
    parts: tuple[BurnPart, ...]


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Burn of each service of the release in force."""

    position: int
    nodes: int
    services: tuple[ServiceBurn, ...]


class _InvalidFieldError(Exception):
    """Raised for a field that is missing or has an unexpected type."""

    def __init__(self, field: str) -> None:
        super().__init__(field)
        self.field = field


def read_burn_report(
    document: Mapping[str, object],
) -> Result[BurnReport, ReplyFault]:
    """Parse a server's document, or return its first invalid field."""
    try:
        return Ok(
            BurnReport(
                _count(document, "position"),
                _count(document, "nodes"),
                _items(document, "services", _service),
            ),
        )
    except _InvalidFieldError as error:
        return Err(ReplyFault(error.field))


def _service(row: Mapping[str, object]) -> ServiceBurn:
    return ServiceBurn(
        name=_text(row, "service"),
        state=_text(row, "state"),
        availability=_optional_number(row, "availability"),
        latency_ms=_optional_number(row, "latency_ms"),
        latency_ratio=_optional_number(row, "latency_ratio"),
        availability_remaining=_optional_number(row, "availability_remaining"),
        latency_remaining=_optional_number(row, "latency_remaining"),
        windows=_items(row, "windows", _window),
        parts=_items(row, "parts", _part),
    )


def _part(row: Mapping[str, object]) -> BurnPart:
    return BurnPart(
        _text(row, "scope"),
        _text(row, "name"),
        _items(row, "windows", _window),
    )


def _window(row: Mapping[str, object]) -> WindowBurn:
    return WindowBurn(
        window=_text(row, "window"),
        calls=_count(row, "calls"),
        failed=_count(row, "failed"),
        late=_count(row, "late"),
        availability_burn=_optional_number(row, "availability_burn"),
        latency_burn=_optional_number(row, "latency_burn"),
    )


def _items(
    row: Mapping[str, object],
    field: str,
    read: Callable[[Mapping[str, object]], Item],
) -> tuple[Item, ...]:
    values = row.get(field)
    if not isinstance(values, list):
        raise _InvalidFieldError(field)
    if not all(isinstance(value, dict) for value in values):
        raise _InvalidFieldError(field)
    return tuple(read(value) for value in values)


def _text(row: Mapping[str, object], field: str) -> str:
    value = row.get(field)
    if not isinstance(value, str):
        raise _InvalidFieldError(field)
    return value


def _count(row: Mapping[str, object], field: str) -> int:
    value = row.get(field)
    # isinstance() would accept a bool as an int.
    if type(value) is not int or value < 0:
        raise _InvalidFieldError(field)
    return value


def _optional_number(row: Mapping[str, object], field: str) -> float | None:
    value = row.get(field)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _InvalidFieldError(field)
    # Python's JSON decoder accepts NaN and Infinity, which cannot be
    # plotted.
    if not math.isfinite(value):
        raise _InvalidFieldError(field)
    return float(value)

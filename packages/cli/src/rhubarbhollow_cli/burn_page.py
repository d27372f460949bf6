"""The service-level burn report as an HTML page."""

from __future__ import annotations

from collections import defaultdict
from html import escape
from typing import TYPE_CHECKING, Final

from rhubarbhollow_cli.burn_plot import plot_share, plot_windows
from rhubarbhollow_cli.burn_template import PAGE, SERVICE
from rhubarbhollow_cli.table import format_cell

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from datetime import datetime

    from rhubarbhollow_cli.burn_report import (
        BurnPart,
        BurnReport,
        ServiceBurn,
        WindowBurn,
    )

SHARE_WINDOW: Final = "1h"
NO_SERVICES: Final = "<p>No release with services is in force.</p>"
NO_CALLS: Final = "<p>No calls have been counted.</p>"

# Calls are counted by the position of the release that routed them.
_SCOPE_TITLES: Final = {"position": "release"}
_STATES: Final = frozenset(("ok", "slow_burn", "fast_burn"))
_WINDOW_TITLES: Final = (
    "Window",
    "Calls",
    "Failed",
    "Late",
    "Availability burn",
    "Latency burn",
)


def format_burn_page(report: BurnReport, read_at: datetime) -> str:
    """Return an HTML page that loads no other resources."""
    services = "\n".join(map(_format_service, report.services))
    return PAGE.substitute(
        position=report.position,
        nodes=report.nodes,
        read_at=read_at.isoformat(timespec="seconds"),
        services=services or NO_SERVICES,
    )


def _format_service(service: ServiceBurn) -> str:
    title = f"Burn rates of {service.name}"
    return SERVICE.substitute(
        name=_escape(service.name),
        state=_escape(service.state.replace("_", " ")),
        state_class=service.state if service.state in _STATES else "",
        availability=_escape(service.availability),
        availability_remaining=_percent(service.availability_remaining),
        latency=_format_latency(service),
        latency_remaining=_percent(service.latency_remaining),
        plot=plot_windows(service.windows, title),
        windows=_format_windows(service.windows),
        parts=_format_parts(service.parts),
    )


def _format_latency(service: ServiceBurn) -> str:
    if service.latency_ms is None:
        return _escape(None)
    ratio = _escape(service.latency_ratio)
    return f"{ratio} within {_escape(service.latency_ms)} ms"


def _format_windows(windows: Sequence[WindowBurn]) -> str:
    if not windows:
        return NO_CALLS
    rows = (
        (
            _cell(window.window),
            _number(window.calls),
            _number(window.failed),
            _number(window.late),
            _number(window.availability_burn),
            _number(window.latency_burn),
        )
        for window in windows
    )
    return _format_table(_WINDOW_TITLES, rows)


def _format_parts(parts: Sequence[BurnPart]) -> str:
    """Return a table for each scope, most bad calls first."""
    by_scope: defaultdict[str, list[BurnPart]] = defaultdict(list)
    for part in parts:
        by_scope[part.scope].append(part)
    return "\n".join(
        _format_scope(scope, by_scope[scope]) for scope in sorted(by_scope)
    )


def _format_scope(scope: str, parts: Sequence[BurnPart]) -> str:
    names = dict.fromkeys(
        window.window for part in parts for window in part.windows
    )
    total = sum(part.bad_in(SHARE_WINDOW) for part in parts)
    ordered = sorted(
        parts,
        key=lambda part: (-part.bad_in(SHARE_WINDOW), part.name),
    )
    title = _SCOPE_TITLES.get(scope, scope)
    titles = (
        title.capitalize(),
        f"Share of bad calls, {SHARE_WINDOW}",
        *(f"Burn, {name}" for name in names),
    )
    rows = (_part_cells(part, tuple(names), total) for part in ordered)
    return f"<h3>By {_escape(title)}</h3>\n{_format_table(titles, rows)}"


def _part_cells(
    part: BurnPart,
    names: Sequence[str],
    total: int,
) -> tuple[str, ...]:
    by_name = {window.window: window for window in part.windows}
    bad = part.bad_in(SHARE_WINDOW)
    share = plot_share(bad / total) if total else ""
    return (
        _cell(part.name),
        f"<td>{share} {bad}</td>",
        *(_burn_cell(by_name.get(name)) for name in names),
    )


def _burn_cell(window: WindowBurn | None) -> str:
    if window is None:
        return _number(None)
    counts = f"{window.failed} failed, {window.late} late of {window.calls}"
    burn = _escape(window.worst_burn)
    return f'<td class="number" title="{counts}">{burn}</td>'


def _format_table(
    titles: Iterable[str],
    rows: Iterable[Iterable[str]],
) -> str:
    head = "".join(f"<th>{_escape(title)}</th>" for title in titles)
    lines = [f"<tr>{head}</tr>"]
    lines.extend(f"<tr>{''.join(cells)}</tr>" for cells in rows)
    return "\n".join(("<table>", *lines, "</table>"))


def _cell(value: object) -> str:
    return f"<td>{_escape(value)}</td>"


def _number(value: float | None) -> str:
    return f'<td class="number">{_escape(value)}</td>'


def _percent(value: float | None) -> str:
    return _escape(None if value is None else f"{value:.1%}")


def _escape(value: object) -> str:
    return escape(format_cell(value))

"""Inline SVG plots of burn rates."""

from __future__ import annotations

import math
from dataclasses import dataclass
from html import escape
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from rhubarbhollow_cli.burn_report import WindowBurn

# Burn rates; at 1 the error budget lasts exactly for its period.
BUDGET_RATE: Final = 1.0
SLOW_BURN_RATE: Final = 6.0
FAST_BURN_RATE: Final = 14.4
REFERENCE_RATES: Final = (BUDGET_RATE, SLOW_BURN_RATE, FAST_BURN_RATE)
MIN_SCALE_RATE: Final = 20.0

_WIDTH_PX: Final = 640
_LABEL_PX: Final = 120
_VALUE_PX: Final = 60
_PLOT_PX: Final = _WIDTH_PX - _LABEL_PX - _VALUE_PX
_ROW_PX: Final = 18
_BAR_PX: Final = 12
_TOP_PX: Final = 18
_SHARE_WIDTH_PX: Final = 100


@dataclass(frozen=True, slots=True)
class _Bar:
    label: str
    kind: str
    rate: float


def plot_windows(windows: Sequence[WindowBurn], title: str) -> str:
    """Return a bar for each window and objective, or ``""`` if none.

    The scale is logarithmic, so that the reference lines can be told
    apart even while every call to a service fails.
    """
    bars = list(_bars_of(windows))
    if not bars:
        return ""
    top = max(MIN_SCALE_RATE, *(bar.rate for bar in bars))
    height = _TOP_PX + _ROW_PX * len(bars)
    size = f'width="{_WIDTH_PX}" height="{height}"'
    parts = [
        f'<svg class="burn" role="img" {size}>',
        f"<title>{escape(title)}</title>",
    ]
    parts.extend(
        _draw_reference(rate, top, height) for rate in REFERENCE_RATES
    )
    parts.extend(_draw_bar(row, bar, top) for row, bar in enumerate(bars))
    parts.append("</svg>")
    return "\n".join(parts)


def plot_share(share: float) -> str:
    """Return a bar for a ratio, clamped to the range from 0 to 1."""
    filled = round(min(max(share, 0.0), 1.0) * _SHARE_WIDTH_PX, 1)
    return (
        f'<svg class="share" width="{_SHARE_WIDTH_PX}" height="{_BAR_PX}">'
        f'<rect class="all" width="{_SHARE_WIDTH_PX}" height="{_BAR_PX}"/>'
        f'<rect class="bad" width="{filled}" height="{_BAR_PX}"/></svg>'
    )


def _bars_of(windows: Sequence[WindowBurn]) -> Iterator[_Bar]:
    for window in windows:
        rates = (
            ("availability", window.availability_burn),
            ("latency", window.latency_burn),
        )
        for kind, rate in rates:
            if rate is not None:
                yield _Bar(f"{window.window} {kind}", kind, rate)


def _draw_reference(rate: float, top: float, height: int) -> str:
    x = _x_position(rate, top)
    return (
        f'<line class="reference" x1="{x}" x2="{x}" y1="{_TOP_PX - 4}" '
        f'y2="{height}"/>'
        f'<text class="reference" x="{x}" y="{_TOP_PX - 6}">{rate:g}</text>'
    )


def _draw_bar(row: int, bar: _Bar, top: float) -> str:
    y = _TOP_PX + row * _ROW_PX
    text_y = y + _BAR_PX - 2
    end = _x_position(bar.rate, top)
    width = round(end - _LABEL_PX, 1)
    return (
        f'<text x="0" y="{text_y}">{escape(bar.label)}</text>'
        f'<rect class="{bar.kind}" x="{_LABEL_PX}" y="{y}" '
        f'width="{width}" height="{_BAR_PX}"/>'
        f'<text x="{round(end + 4, 1)}" y="{text_y}">{bar.rate:.6g}</text>'
    )


def _x_position(rate: float, top: float) -> float:
    share = math.log1p(max(rate, 0.0)) / math.log1p(top)
    return round(_LABEL_PX + _PLOT_PX * share, 1)

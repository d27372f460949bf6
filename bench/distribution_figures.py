"""Figures of a fleet and their linear fit over the fleet size."""

from __future__ import annotations

import math
from dataclasses import dataclass
from statistics import linear_regression
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence


@dataclass(frozen=True, slots=True)
class Figure:
    """Hold a measured value; its name states the unit."""

    name: str
    value: float


def percentile(values: Sequence[float], share: float) -> float:
    """Return the nearest-rank percentile; ``share`` is from 0 to 1."""
    rank = max(1, math.ceil(share * len(values)))
    return sorted(values)[rank - 1]


def print_size(node_count: int, figures: Sequence[Figure]) -> None:
    """Print the figures of a fleet of one size."""
    print(f"\n{node_count} nodes")
    _print_figures(figures)


def print_state(endpoint_count: int, figures: Sequence[Figure]) -> None:
    """Print the figures of the endpoint tables in one process."""
    print(f"{endpoint_count} endpoints inside one process")
    _print_figures(figures)


def _print_figures(figures: Sequence[Figure]) -> None:
    for figure in figures:
        print(f"  {figure.name:48} {figure.value:12.2f}", flush=True)


def print_slopes(sizes: Mapping[int, Sequence[Figure]]) -> None:
    """Print all sizes side by side with a linear fit of each figure."""
    counts = list(sizes)
    print("\nFitted: value = base + slope * nodes")
    headers = "".join(f"{f'N={count}':>12}" for count in counts)
    print(f"  {'':48}{headers}{'base':>12}{'slope':>12}")
    for row in zip(*sizes.values(), strict=True):
        values = [figure.value for figure in row]
        line = linear_regression(counts, values)
        cells = "".join(f"{value:12.2f}" for value in values)
        print(
            f"  {row[0].name:48}{cells}"
            f"{line.intercept:12.2f}{line.slope:12.4f}",
        )

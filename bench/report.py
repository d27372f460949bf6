"""Tables of benchmark results."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bench.call_path import WayResult


def print_rows(rows: list[WayResult]) -> None:
    """Print figures, then how each compares with the first."""
    print(
        "way              p50 ms  p99 ms  sat/s  fail  "
        "processor ms a call and MB resident, by process"
    )
    for row in rows:
        costs = "  ".join(
            f"{cost.name} {cost.processor_ms_per_call:.3f}"
            f" ({cost.resident_megabytes:.0f} MB)"
            for cost in row.costs
        )
        full = "  ".join(
            f"{cost.name} {cost.processor_ms_per_call:.3f}"
            for cost in row.saturated_costs
        )
        print(
            f"{row.name:16} {row.p50_ms:6.2f}  {row.p99_ms:6.2f}"
            f"  {row.saturated_calls_per_second:5.0f}  {row.failures:4}"
            f"  {costs}"
        )
        if full:
            print(f"{'':16} saturated, processor ms a call: {full}")
    if rows and rows[0].name == "alone":
        _print_ratios(rows)


def _print_ratios(rows: list[WayResult]) -> None:
    alone = rows[0]
    base_cost = alone.costs[0].processor_ms_per_call
    print()
    print(
        "against alone    p50 +ms  x     p99 +ms  x     "
        "processor of what was added, x"
    )
    for row in rows[1:]:
        added = row.costs[:-1]
        costs = "  ".join(
            f"{cost.name} {cost.processor_ms_per_call / base_cost:.2f}"
            for cost in added
        )
        print(
            f"{row.name:16} {row.p50_ms - alone.p50_ms:7.2f}"
            f"  {row.p50_ms / alone.p50_ms:4.2f}"
            f"  {row.p99_ms - alone.p99_ms:7.2f}"
            f"  {row.p99_ms / alone.p99_ms:4.2f}  {costs}"
        )

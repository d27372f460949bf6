"""Tables of the call path benchmark."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bench.call_path import TopologyResult


def print_rows(rows: list[TopologyResult]) -> None:
    """Print the results and, for a full run, ratios to ``alone``."""
    print(
        "topology         p50 ms  p99 ms  sat/s  fail  "
        "processor ms a call and MB resident, by process"
    )
    for row in rows:
        costs = "  ".join(
            f"{cost.name} {cost.processor_ms_per_call:.3f}"
            f" ({cost.resident_megabytes:.0f} MB)"
            for cost in row.costs
        )
        saturated = "  ".join(
            f"{cost.name} {cost.processor_ms_per_call:.3f}"
            for cost in row.saturated_costs
        )
        print(
            f"{row.name:16} {row.p50_ms:6.2f}  {row.p99_ms:6.2f}"
            f"  {row.saturated_calls_per_second:5.0f}  {row.failures:4}"
            f"  {costs}"
        )
        if saturated:
            print(f"{'':16} saturated, processor ms a call: {saturated}")
    if rows and rows[0].name == "alone":
        _print_ratios(rows)


def _print_ratios(rows: list[TopologyResult]) -> None:
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

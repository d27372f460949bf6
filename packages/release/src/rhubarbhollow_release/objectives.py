"""Service level objectives of a service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Objectives:
    """Store the availability and latency objectives of a service.

    ``availability`` and ``latency_ratio`` are ratios between 0 and 1:
    the objective is that ``availability`` of the calls succeed and that
    ``latency_ratio`` of them finish within ``latency_ms``.
    """

    availability: float
    latency_ms: int | None = None
    latency_ratio: float | None = None

    @property
    def is_latency_consistent(self) -> bool:
        """Return whether both latency fields are set, or neither."""
        return (self.latency_ms is None) == (self.latency_ratio is None)

"""What a service promises to its callers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Objectives:
    """Hold a service's objectives.

    ``availability`` and ``latency_ratio`` are shares between 0 and 1;
    ``latency_ratio`` of the calls finish within ``latency_ms``.
    """

    availability: float
    latency_ms: int | None = None
    latency_ratio: float | None = None

    @property
    def is_paired(self) -> bool:
        """Say whether the two latency fields are both set or not."""
        return (self.latency_ms is None) == (self.latency_ratio is None)

"""What a service promises, in shares of its calls."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BurnObjective:
    """Promise shares of calls that are answered, and in time.

    ``availability`` and ``latency`` are shares below 1, such as 0.999;
    ``latency_seconds`` is the time within which an answer is in time.
    """

    availability: float
    latency: float
    latency_seconds: float

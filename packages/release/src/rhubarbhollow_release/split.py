"""Traffic splits of routes among several services."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Split:
    """Assign a share of a route's calls to a service.

    The share is ``weight`` divided by the sum of the weights of the
    route, which is above 0.
    """

    service: str
    weight: float

"""One part of a route that is shared among services."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Split:
    """Send ``weight`` parts of a route's calls to ``service``.

    The share is the weight over the sum of the route's weights, which
    is above 0.
    """

    service: str
    weight: float

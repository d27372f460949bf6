"""Distribution of a route's calls among services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


class WeightedChoice:
    """Distribute calls by smooth weighted round robin.

    For any number of calls, the count of each service differs from its
    weighted share by less than the number of services, so that even a
    few calls reflect the weights.
    """

    __slots__ = ("_credits", "_parts", "_total")

    def __init__(self, parts: Sequence[tuple[str, float]]) -> None:
        self._parts = tuple(parts)
        self._credits = [0.0] * len(self._parts)
        self._total = sum(weight for _, weight in self._parts)

    @property
    def parts(self) -> tuple[tuple[str, float], ...]:
        """Return the pairs of service and weight."""
        return self._parts

    def next(self) -> str:
        """Return the service for the next call."""
        for index, (_, weight) in enumerate(self._parts):
            self._credits[index] += weight
        chosen = max(
            range(len(self._parts)), key=lambda index: self._credits[index]
        )
        self._credits[chosen] -= self._total
        return self._parts[chosen][0]

"""Sharing a route's calls among services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


class WeightedChoice:
    """Give each part its share by smooth weighted round robin.

    Over any run of calls a part's count differs from its share by less
    than one for each part, so that few calls already show the weights.
    """

    __slots__ = ("_credits", "_parts", "_total")

    def __init__(self, parts: Sequence[tuple[str, float]]) -> None:
        self._parts = tuple(parts)
        self._credits = [0.0] * len(self._parts)
        self._total = sum(weight for _, weight in self._parts)

    @property
    def parts(self) -> tuple[tuple[str, float], ...]:
        """Return the services with their weights."""
        return self._parts

    def next(self) -> str:
        """Return the service of the next call."""
        for index, (_, weight) in enumerate(self._parts):
            self._credits[index] += weight
        chosen = max(
            range(len(self._parts)), key=lambda index: self._credits[index]
        )
        self._credits[chosen] -= self._total
        return self._parts[chosen][0]

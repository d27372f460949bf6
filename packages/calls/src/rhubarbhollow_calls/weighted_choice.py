"""Distribution of a route's calls among services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

# Each choice starts at one of this many places in the sequence. A
# service with a weight of 1 % is then the first choice somewhere.
STARTING_PLACES: Final = 100


class WeightedChoice:
    """Distribute calls by smooth weighted round robin.

    The load that this answers: many nodes of which each has a few calls
    of a route. On each of them the count of a service differs from its
    weighted share by less than twice the number of services. Nodes
    start at random places of the sequence; if all began with the
    heaviest service, the lightest would get no call until each node has
    had many.
    """

    __slots__ = ("_credits", "_parts", "_total")

    def __init__(
        self, parts: Sequence[tuple[str, float]], random: Random
    ) -> None:
        self._parts = tuple(parts)
        self._credits = [0.0] * len(self._parts)
        self._total = sum(weight for _, weight in self._parts)
        if len(self._parts) > 1:
            for _ in range(random.randrange(STARTING_PLACES)):
                self.next()

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

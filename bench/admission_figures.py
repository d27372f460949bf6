"""Figures of the admission trial, by route and group of tenants."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from bench.admission_loads import LoadRoute, Mesh

# Requirements of HARD-LOAD.md: by how much a less urgent route may be
# served more often, and the least share of the average that any route
# or tenant has to be served.
MAX_INVERSION: Final = 0.05
MIN_SERVED: Final = 0.25


@dataclass(slots=True)
class Figures:
    """Outcomes of the calls that clients made."""

    offered: int = 0
    on_time: int = 0
    late: int = 0
    rejected: int = 0
    timed_out: int = 0
    # Rejections after more than an eighth of the objective.
    held: int = 0
    # Calls of clients that came back and were rejected again or failed.
    failed_again: int = 0
    # Attempts that ended at their deadline while they held a slot.
    wasted: int = 0
    earned: float = 0.0
    possible: float = 0.0

    @property
    def served(self) -> float:
        """Return the share of calls that were answered."""
        return (self.on_time + self.late) / max(1, self.offered)

    def share(self, count: float) -> float:
        """Return ``count`` as a share of the offered calls."""
        return count / max(1, self.offered)

    @property
    def value(self) -> float:
        """Return the share of the possible value that was earned."""
        return self.earned / self.possible if self.possible else 0.0

    def add(self, other: Figures) -> None:
        """Add the counts of another run."""
        for name in Figures.__slots__:
            setattr(self, name, getattr(self, name) + getattr(other, name))


@dataclass(slots=True)
class Outcome:
    """The figures of one run."""

    by_route: dict[str, Figures] = field(
        default_factory=lambda: defaultdict(Figures)
    )
    by_tenant: dict[str, Figures] = field(
        default_factory=lambda: defaultdict(Figures)
    )
    total: Figures = field(default_factory=Figures)
    # Share on time of the calls that began in the second after the
    # first second of calm after the surge.
    after_surge: Figures = field(default_factory=Figures)

    def add(self, other: Outcome) -> None:
        """Add the counts of another run."""
        for route, figures in other.by_route.items():
            self.by_route[route].add(figures)
        for tenant, figures in other.by_tenant.items():
            self.by_tenant[tenant].add(figures)
        self.total.add(other.total)
        self.after_surge.add(other.after_surge)

    def faults(self, mesh: Mesh) -> list[str]:
        """Return the requirements on fairness that the run broke."""
        faults = [
            f"{name} served {figures.served:.2f}"
            for name, figures in (
                *self.by_route.items(),
                *self.by_tenant.items(),
            )
            if figures.served < MIN_SERVED * self.total.served
        ]
        routes = [one for one in mesh.routes if one.name in self.by_route]
        return faults + [
            f"{urgent.name} after {other.name}"
            for urgent in routes
            for other in routes
            if self._is_inverted(urgent, other)
        ]

    def _is_inverted(self, urgent: LoadRoute, other: LoadRoute) -> bool:
        if urgent.service != other.service or urgent.rank >= other.rank:
            return False
        gap = (
            self.by_route[other.name].served
            - self.by_route[urgent.name].served
        )
        return gap > MAX_INVERSION

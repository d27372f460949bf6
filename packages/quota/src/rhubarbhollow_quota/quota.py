"""A tenant's quota."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Quota:
    """Hold the rate per second and the burst of one tenant."""

    rate: float
    burst: float


NO_QUOTA = Quota(0.0, 0.0)


def shrink_factor(part_of: float, current: float) -> float:
    """Return the factor for a part of ``part_of`` under ``current``.

    Only a lowered quota changes what is held; a raised one is leased
    anew by the parent.
    """
    if part_of <= 0.0:
        return 0.0
    return min(1.0, current / part_of)

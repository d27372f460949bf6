"""Choice among upstreams whose free slots and speeds are known.

The load that this answers: many nodes place few calls each on the same
upstreams, which differ in speed, and whose speed changes faster than a
node's own calls could show. All nodes have the same reports, so the
choice is random, with free capacity as weight: nodes that followed the
best report would meet at one upstream.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

MIN_SERVICE_SECONDS: Final = 0.001


@dataclass(frozen=True, slots=True)
class Capacity:
    """Describe a candidate for one call.

    ``free_slots`` is what its node reported, less the calls sent there
    since. ``service_seconds`` is the expected time in a slot, and
    ``completion_seconds`` the expected time until the response.
    """

    free_slots: float
    service_seconds: float
    completion_seconds: float


def choose_by_capacity(
    candidates: Sequence[Capacity], random: Random
) -> int | None:
    """Return the index of a candidate with free slots, or ``None``.

    Two are drawn by their free capacity, and the one that is expected
    to respond earlier is taken.
    """
    weights = [_weight(candidate) for candidate in candidates]
    if sum(weights) <= 0:
        return None
    first, second = random.choices(range(len(candidates)), weights, k=2)
    if candidates[second].completion_seconds < (
        candidates[first].completion_seconds
    ):
        return second
    return first


def _weight(candidate: Capacity) -> float:
    # Calls a second that the free slots serve. A higher power of the
    # service time would crowd the quick upstreams once load rises.
    seconds = max(MIN_SERVICE_SECONDS, candidate.service_seconds)
    return max(0.0, candidate.free_slots) / seconds

"""The division of a service's upstreams by their version."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Protocol

from rhubarbhollow_rollout.view import COMPLETED, RUNNING, WHOLE_PERMILLE

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rhubarbhollow_rollout.messages import RolloutView

# New upstreams that receive calls have about this many times the load
# of an old one. Below 1, so that new upstreams on slower machines are
# not overloaded by design.
LOAD_OF_EXPOSED: Final = 0.8


class Upstream(Protocol):
    """What the division needs to know of an upstream."""

    @property
    def name(self) -> str:
        """Return the name, unique in the mesh."""
        ...

    @property
    def version(self) -> str:
        """Return the version, empty if the upstream has none."""
        ...

    @property
    def data_centre(self) -> str:
        """Return the data centre."""
        ...

    @property
    def incarnation(self) -> int:
        """Return a number that is higher for nodes started later."""
        ...


@dataclass(frozen=True, slots=True)
class Division:
    """Name the upstreams that may receive calls, by version."""

    stable: frozenset[str]
    new: frozenset[str] = frozenset()


def divide(
    upstreams: Sequence[Upstream], view: RolloutView | None, first_seen: str
) -> Division | None:
    """Divide the upstreams that accept calls, or return ``None``.

    ``None`` means that every upstream may be chosen: all are of one
    version. ``first_seen`` is the version of the service that this node
    saw first; it is in force while no rollout says otherwise.
    """
    versions = {upstream.version for upstream in upstreams}
    if len(versions) <= 1:
        return None
    if view is None:
        return Division(_named(upstreams, _oldest(upstreams, first_seen)))
    if view.state == COMPLETED:
        version = view.new_version
        if version not in versions:
            version = _oldest(upstreams, first_seen)
        return Division(_named(upstreams, version))
    old = [each for each in upstreams if each.version != view.new_version]
    preferred = view.stable_version or first_seen
    stable = _named(old, _oldest(old, preferred))
    if view.state != RUNNING:
        return Division(stable)
    return Division(stable, _exposed(upstreams, view, stable))


def oldest_version(upstreams: Sequence[Upstream]) -> str:
    """Return the version that is most likely in force.

    That is the one with most upstreams and, among equals, the one whose
    first node was started first.
    """
    counts = Counter(upstream.version for upstream in upstreams)
    first = {
        version: min(
            each.incarnation for each in upstreams if each.version == version
        )
        for version in counts
    }
    return min(counts, key=lambda each: (-counts[each], first[each], each))


def is_outnumbered(upstreams: Sequence[Upstream], version: str) -> bool:
    """Return whether another version has more upstreams."""
    counts = Counter(upstream.version for upstream in upstreams)
    return max(counts.values()) > counts[version]


def _oldest(upstreams: Sequence[Upstream], preferred: str) -> str:
    if any(upstream.version == preferred for upstream in upstreams):
        return preferred
    return oldest_version(upstreams)


def _named(upstreams: Sequence[Upstream], version: str) -> frozenset[str]:
    return frozenset(
        upstream.name for upstream in upstreams if upstream.version == version
    )


def _exposed(
    upstreams: Sequence[Upstream], view: RolloutView, stable: frozenset[str]
) -> frozenset[str]:
    """Return the new upstreams that receive calls in this step.

    A small share spread over all new upstreams would leave each of them
    idle, and a version that fails only under load would pass. So the
    share goes to as few of each data centre as bear it at the usual
    load, and to others of them in the next step.
    """
    new = [each for each in upstreams if each.version == view.new_version]
    if view.share_permille >= WHOLE_PERMILLE:
        return frozenset(each.name for each in new)
    chosen: set[str] = set()
    for data_centre in {each.data_centre for each in new}:
        names = sorted(
            each.name for each in new if each.data_centre == data_centre
        )
        beside = sum(
            each.name in stable and each.data_centre == data_centre
            for each in upstreams
        )
        share = view.share_permille / WHOLE_PERMILLE
        wanted = math.ceil(share * beside / LOAD_OF_EXPOSED)
        count = min(len(names), max(1, wanted))
        first = view.step * count
        chosen.update(
            names[(first + index) % len(names)] for index in range(count)
        )
    return frozenset(chosen)

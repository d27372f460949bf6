"""One endpoint as the node beside it describes it."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum
from typing import TypeAlias

EndpointKey: TypeAlias = tuple[str, str]


class EndpointState(IntEnum):
    """Tell whether an endpoint may receive new work."""

    UP = 1
    LEAVING = 2
    GONE = 3


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """Describe one endpoint; the later of two records wins.

    Records of one endpoint, which is known by its node and its name,
    are ordered by ``(incarnation, sequence)``, which only the node
    issues.  ``GONE`` is a tombstone.
    """

    name: str
    service: str
    node: str
    data_centre: str
    peer_host: str
    peer_port: int
    slots: int
    state: int
    load_percent: int
    incarnation: int
    sequence: int

    @property
    def key(self) -> EndpointKey:
        """Return what tells this endpoint from every other."""
        return (self.node, self.name)

    @property
    def order(self) -> tuple[int, int]:
        """Return the key by which the later record wins."""
        return (self.incarnation, self.sequence)

    @property
    def is_gone(self) -> bool:
        """Tell whether this record is a tombstone."""
        return self.state == EndpointState.GONE

    def bury(self) -> EndpointRecord:
        """Return a tombstone of the same order."""
        return replace(self, state=int(EndpointState.GONE))

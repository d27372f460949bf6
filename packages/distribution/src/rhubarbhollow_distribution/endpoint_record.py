"""The record with which a node describes one local endpoint."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum
from typing import TypeAlias

EndpointKey: TypeAlias = tuple[str, str]


class EndpointState(IntEnum):
    """Classify whether an endpoint accepts new calls."""

    UP = 1
    LEAVING = 2
    GONE = 3


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """Describe one endpoint; the later of two records wins.

    An endpoint is identified by its node and its name.  Its records are
    ordered by ``(incarnation, sequence)``.  Only the node assigns the
    sequence; a control instance may raise the incarnation (see
    ``Welcome``).  A record in state ``GONE`` is a tombstone.
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
        """Return the unique key of this endpoint in the mesh."""
        return (self.node, self.name)

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key by which the later record wins."""
        return (self.incarnation, self.sequence)

    @property
    def is_gone(self) -> bool:
        """Return whether this record is a tombstone."""
        return self.state == EndpointState.GONE

    def to_tombstone(self) -> EndpointRecord:
        """Return a tombstone of the same order."""
        return replace(self, state=int(EndpointState.GONE))

"""One announced upstream instance and the node beside it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """Say whether an endpoint takes new calls."""

    UP = "up"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Describe an upstream as this node has heard of it.

    ``joined_at`` is in seconds on this node's own monotonic clock, at
    the moment when it first heard of this incarnation.
    """

    name: str
    service: str
    data_centre: str
    node: str
    peer_host: str
    peer_port: int
    slots: int
    state: EndpointState
    incarnation: int
    joined_at: float

    @property
    def instance(self) -> str:
        """Return the name under which its node lists the upstream."""
        return self.name.removeprefix(f"{self.node}/")

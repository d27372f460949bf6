"""An announced upstream instance and the node beside it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """State whether an endpoint accepts new calls."""

    UP = "up"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Describe an upstream instance as announced to this node.

    ``joined_at`` is the time at which this node first learned of this
    incarnation, in seconds on its own monotonic clock.  ``version`` is
    empty if the upstream states none.
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
    version: str = ""

    @property
    def instance(self) -> str:
        """Return the name under which its node lists the upstream."""
        return self.name.removeprefix(f"{self.node}/")

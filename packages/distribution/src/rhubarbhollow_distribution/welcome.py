"""The control instance's answer to a hello."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Welcome:
    """Name the control instance that admitted the node.

    ``node_incarnation`` is the one that the node has to use from now
    on: its own, unless one that was at least as high is remembered of
    an earlier process, as after a step of the clock.
    """

    control: str
    data_centre: str
    incarnation: int
    node_incarnation: int = 0

    @property
    def source(self) -> str:
        """Return the source of the endpoint changes that follow."""
        return name_source(self.control, self.incarnation)


def name_source(control: str, incarnation: int) -> str:
    """Return what the endpoint versions of one process belong to."""
    return f"{control}/{incarnation}"

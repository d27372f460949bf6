"""The control instance's answer to a hello."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Welcome:
    """Identify the control instance that admitted the node.

    ``node_incarnation`` is the incarnation that the node must use from
    now on.  It is the node's own unless a higher one of an earlier
    process is known, for example after a clock was set back.
    """

    control: str
    data_centre: str
    incarnation: int
    node_incarnation: int = 0

    @property
    def source(self) -> str:
        """Return the source identifier of the endpoint changes."""
        return format_source_id(self.control, self.incarnation)


def format_source_id(control: str, incarnation: int) -> str:
    """Return the identifier that scopes a process's table versions."""
    return f"{control}/{incarnation}"

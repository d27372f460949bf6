"""The control instance's answer to a hello."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Welcome:
    """Name the control instance that admitted the node."""

    control: str
    data_centre: str
    incarnation: int

    @property
    def source(self) -> str:
        """Return the source of the endpoint changes that follow."""
        return name_source(self.control, self.incarnation)


def name_source(control: str, incarnation: int) -> str:
    """Return what the endpoint versions of one process belong to."""
    return f"{control}/{incarnation}"

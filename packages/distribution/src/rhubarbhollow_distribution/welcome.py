"""The control instance's answer to a hello."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Welcome:
    """Name the control instance that admitted the node."""

    control: str
    data_centre: str
    incarnation: int

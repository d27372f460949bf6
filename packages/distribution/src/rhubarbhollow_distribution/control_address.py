"""Where a control instance listens for nodes and its peers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ControlAddress:
    """Name a control instance, its data centre and its address."""

    name: str
    data_centre: str
    host: str
    port: int

"""The address at which a control instance accepts connections."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ControlAddress:
    """Identify a control instance, its data centre and its address.

    Nodes and the other control instances connect to this address.
    """

    name: str
    data_centre: str
    host: str
    port: int

"""The address at which a control instance accepts connections."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

MAX_PORT: Final = 65_535
_NAME: Final = re.compile(r"[A-Za-z0-9:][A-Za-z0-9.:_-]{0,254}")


@dataclass(frozen=True, slots=True)
class ControlAddress:
    """Identify a control instance, its data centre and its address.

    Nodes and the other control instances connect to this address.
    """

    name: str
    data_centre: str
    host: str
    port: int


def is_usable(address: ControlAddress) -> bool:
    """Return whether an address from another process can be used."""
    return (
        bool(_NAME.fullmatch(address.name))
        and bool(_NAME.fullmatch(address.host))
        and 0 < address.port <= MAX_PORT
    )

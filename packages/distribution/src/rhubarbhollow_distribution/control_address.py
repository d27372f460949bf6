"""The address at which a control instance accepts connections."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

MAX_PORT: Final = 65_535
# The longest part of a host name between two dots.
MAX_LABEL_CHARACTERS: Final = 63
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
        and is_host(address.host)
        and 0 < address.port <= MAX_PORT
    )


def is_host(text: str) -> bool:
    """Return whether a text can be resolved as a host or address."""
    return bool(_NAME.fullmatch(text)) and all(
        0 < len(label) <= MAX_LABEL_CHARACTERS for label in text.split(".")
    )

"""Addresses of instances' admin ports."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from typing import Final
from urllib.parse import urlsplit

from result import Err, Ok, Result

MAX_PORT: Final = 65535


@dataclass(frozen=True, slots=True)
class ServerAddress:
    """IP address and port of an admin endpoint."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the URL without a path."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"http://{host}:{self.port}"


@dataclass(frozen=True, slots=True)
class AddressFault:
    """Why a text is not a valid server URL."""

    text: str
    detail: str


def parse_server(text: str) -> Result[ServerAddress, AddressFault]:
    """Parse ``http://IP:PORT``; host names are not resolved."""
    try:
        parts = urlsplit(text)
        port = parts.port
    except ValueError as error:
        return Err(AddressFault(text, str(error)))
    if parts.scheme != "http":
        return Err(AddressFault(text, "expected the scheme http"))
    if parts.path.strip("/") or parts.query or parts.username:
        return Err(AddressFault(text, "expected only http://IP:PORT"))
    if not port or port > MAX_PORT:
        return Err(AddressFault(text, f"expected a port from 1 to {MAX_PORT}"))
    try:
        host = ipaddress.ip_address(parts.hostname or "")
    except ValueError:
        return Err(AddressFault(text, "expected an IP address as the host"))
    return Ok(ServerAddress(str(host), port))

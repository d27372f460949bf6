"""Where an instance's admin port is."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from typing import Final
from urllib.parse import urlsplit

from result import Err, Ok, Result

MAX_PORT: Final = 65535


@dataclass(frozen=True, slots=True)
class ServerAddress:
    """Hold an admin port's IP number and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the URL without a path."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"http://{host}:{self.port}"


@dataclass(frozen=True, slots=True)
class AddressFault:
    """Say why a text is not a server's URL."""

    text: str
    detail: str


def parse_server(text: str) -> Result[ServerAddress, AddressFault]:
    """Read ``http://IP:PORT``; names are not looked up."""
    try:
        parts = urlsplit(text)
        port = parts.port
    except ValueError as error:
        return Err(AddressFault(text, str(error)))
    if parts.scheme != "http":
        return Err(AddressFault(text, "scheme is not http"))
    if parts.path.strip("/") or parts.query or parts.username:
        return Err(AddressFault(text, "expected just http://IP:PORT"))
    if not port or port > MAX_PORT:
        return Err(AddressFault(text, "port is missing"))
    try:
        host = ipaddress.ip_address(parts.hostname or "")
    except ValueError:
        return Err(AddressFault(text, "host is not an IP number"))
    return Ok(ServerAddress(str(host), port))

"""Sockets that are bound before the process serves them.

This module imports little, so that a process can listen for its callers
before it loads the rest.
"""

from __future__ import annotations

import socket
from typing import Final

DEFAULT_BACKLOG: Final = 1_024


def bind_listener(host: str, port: int) -> socket.socket:
    """Return a bound IPv4 socket that is not listening yet."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, port))
    bound.setblocking(False)
    return bound


def open_listener(host: str, port: int) -> socket.socket:
    """Return a socket that queues connections from now on.

    The caller of a process that starts then waits for it, in place of
    being refused. Raises ``OSError`` if the address is in use.
    """
    bound = bind_listener(host, port)
    bound.listen(DEFAULT_BACKLOG)
    return bound

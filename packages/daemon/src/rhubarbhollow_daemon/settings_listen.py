"""Settings of the listeners."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """Hold the address and the ports on which the process listens.

    ``control_port`` is ``None`` on an instance without a control
    section; ``backlog`` is that of the caller and the peer listener.
    """

    host: str
    caller_port: int
    peer_port: int
    admin_port: int
    control_port: int | None = None
    backlog: int = 1_024

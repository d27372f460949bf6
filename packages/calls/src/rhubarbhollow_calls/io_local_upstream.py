"""The local upstream, as it announced itself to this node."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LocalUpstream:
    """Describe the address and the capacity of the local upstream.

    ``slots`` limits its concurrent calls, ``connections`` the
    connections that it accepts.  ``incarnation`` differs between runs
    of the upstream's process.  ``instance`` is the name that the
    upstream uses for itself.  ``is_leaving`` means that it accepts no
    new calls.
    """

    name: str
    service: str
    host: str
    port: int
    slots: int
    connections: int
    incarnation: int = 0
    instance: str = ""
    is_leaving: bool = False

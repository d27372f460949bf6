"""The upstream beside this node, as it announced itself."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LocalUpstream:
    """Say where the upstream listens and how much it takes at once.

    ``slots`` bounds the calls that run there, ``connections`` the
    connections that it accepts.  ``incarnation`` tells one run of the
    upstream's process from the next.
    ``instance`` is the name that the upstream knows itself by.
    ``is_leaving`` closes its gate for new calls.
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

"""Notes: opaque texts stored with a release."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Note:
    """Store an opaque text under a name; nodes do not interpret it.

    A gateway that accepts manifests in another format stores here what
    it needs to return the submitted document unchanged.
    """

    name: str
    text: str

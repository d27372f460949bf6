"""The first message of a node on a new connection."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Hello:
    """Identify the node and report what it already holds.

    A node without a release in force sends position 0 and
    ``EMPTY_DIGEST``.  ``staged_position`` is the highest staged
    position, so that a reconnect without changes transfers no release
    content.  ``endpoints_source`` and ``endpoints_version`` identify
    the last endpoint change that the node applied.
    """

    mesh: str
    node: str
    data_centre: str
    incarnation: int
    active_position: int
    active_digest: bytes
    staged_position: int
    endpoints_source: str
    endpoints_version: int

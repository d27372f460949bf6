"""The first message of a node on a new connection."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Hello:
    """Say who the node is and what it already holds.

    A node without memory sends position 0 and ``EMPTY_DIGEST``.
    ``staged_position`` is the highest position that is staged, so that
    a reconnect with nothing new costs no release bytes.
    ``endpoints_source`` and ``endpoints_version`` name the last
    endpoint change that the node applied and its sender.
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

"""Counts of control bytes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Traffic:
    """Count what one kind of connection has carried.

    Bytes are those handed to and taken from the socket: frames with
    their prefixes, without the headers of TCP and IP.
    """

    bytes_in: int = 0
    bytes_out: int = 0
    messages_in: int = 0
    messages_out: int = 0

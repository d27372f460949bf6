"""Counters of the control traffic between processes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Traffic:
    """Count the bytes and messages of one type of connection.

    Bytes are those written to and read from the socket: prefaces and
    frames with their length prefixes, without TCP and IP headers.
    """

    bytes_in: int = 0
    bytes_out: int = 0
    messages_in: int = 0
    messages_out: int = 0

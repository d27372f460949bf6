"""Counters of the control traffic between processes."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class Traffic:
    """Count the bytes and messages of one type of connection.

    Bytes are those written to and read from the socket: prefaces and
    frames with their length prefixes, without TCP and IP headers.
    ``frame_bytes_out`` counts the bytes of sent frames by the type of
    their message and by whether the receiver is in another data centre
    than ``data_centre``.
    """

    data_centre: str = ""
    bytes_in: int = 0
    bytes_out: int = 0
    messages_in: int = 0
    messages_out: int = 0
    frame_bytes_out: Counter[tuple[str, bool]] = field(default_factory=Counter)

    def count_frame(
        self, message: object, size: int, receiver_data_centre: str
    ) -> None:
        """Count a sent message whose frame has ``size`` bytes."""
        is_remote = receiver_data_centre != self.data_centre
        self.frame_bytes_out[type(message).__name__, is_remote] += size
        self.messages_out += 1

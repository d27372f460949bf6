"""A reference that pushes the full state to all nodes on each change.

Tests compare its result with that of the differences, and the bytes
that both send.
"""

from __future__ import annotations

from dataclasses import dataclass

from small_releases import stage_at

from rhubarbhollow_distribution.activate import Activate
from rhubarbhollow_distribution.control_heartbeat import ControlHeartbeat
from rhubarbhollow_distribution.endpoint_change import EndpointChange
from rhubarbhollow_distribution.hello import Hello
from rhubarbhollow_distribution.stage import Stage
from rhubarbhollow_distribution.welcome import Welcome
from rhubarbhollow_wire.codec import MessageCodec

FRAME_HEADER_BYTES = 4

_CODEC = MessageCodec(
    (Activate, ControlHeartbeat, EndpointChange, Hello, Stage, Welcome)
)


def bytes_of(message):
    """Return the size in bytes of a message framed on the wire."""
    return FRAME_HEADER_BYTES + len(_CODEC.encode(message))


@dataclass
class NaiveSource:
    """Count the bytes of pushing the full state to each node."""

    node_count: int
    position: int = 0
    endpoints: dict = None
    sent_bytes: int = 0
    version: int = 0

    def __post_init__(self):
        self.endpoints = {}

    def accept(self):
        self.position += 1
        self._push(stage_at(self.position))

    def merge(self, records):
        for record in records:
            known = self.endpoints.get(record.key)
            if known is None or record.order > known.order:
                self.endpoints[record.key] = record
        self.version += 1
        records = tuple(self.endpoints.values())
        self._push(EndpointChange("n", 0, self.version, records, True))

    def live(self):
        return {each for each in self.endpoints.values() if not each.is_gone}

    def _push(self, message):
        self.sent_bytes += self.node_count * bytes_of(message)

"""Snapshots of the state machine and their encoding."""

from __future__ import annotations

from dataclasses import dataclass

from rhubarbhollow_replication.configuration import (
    Configuration,
    decode_configuration,
)
from rhubarbhollow_replication.record import (
    CorruptBytes,
    add_checksum_header,
    strip_checksum_header,
)

_INT_BYTES = 8


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after applying every entry up to ``last_index``."""

    last_index: int
    last_term: int
    configuration: Configuration
    data: bytes

    def encode(self) -> bytes:
        """Encode with a checksum, for the disk and for transfer."""
        members = self.configuration.encode()
        header_fields = (self.last_index, self.last_term, len(members))
        fields = b"".join(
            value.to_bytes(_INT_BYTES, "big") for value in header_fields
        )
        return add_checksum_header(fields + members + self.data)


def decode_snapshot(encoded: bytes) -> Snapshot | CorruptBytes:
    """Decode and verify the result of ``Snapshot.encode``."""
    body = strip_checksum_header(encoded)
    if isinstance(body, CorruptBytes):
        return body
    last_index, last_term, members_size = (
        int.from_bytes(body[start : start + _INT_BYTES], "big")
        for start in range(0, 3 * _INT_BYTES, _INT_BYTES)
    )
    members_end = 3 * _INT_BYTES + members_size
    return Snapshot(
        last_index,
        last_term,
        decode_configuration(body[3 * _INT_BYTES : members_end]),
        body[members_end:],
    )

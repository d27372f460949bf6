"""Binary encoding of snapshots of the ledger.

A snapshot is the SHA-256 of a zlib stream, followed by the stream.  It
holds a line of JSON (the preamble), the records, which have a fixed
size, and the releases.
"""

from __future__ import annotations

import hashlib
import json
import struct
import zlib
from dataclasses import dataclass
from enum import StrEnum
from itertools import pairwise
from typing import Any, Final

from result import Err, Ok, Result

from rhubarbhollow_release.canonical import DIGEST_BYTES
from rhubarbhollow_release.codec import encode_json
from rhubarbhollow_release.ledger_state import LedgerState
from rhubarbhollow_release.release_codec import (
    decode_releases,
    encode_releases,
)
from rhubarbhollow_release.release_record import ReleaseRecord

SNAPSHOT_FORMAT: Final = 1
MAX_SNAPSHOT_BYTES: Final = 256 << 20

# A low level suffices, since most of the data is digests and already
# compressed differences.
_COMPRESSION_LEVEL: Final = 1
_RECORD: Final = struct.Struct(">QQ32s16s")


class SnapshotFaultKind(StrEnum):
    """Classify the reason why a snapshot is rejected."""

    CHECKSUM = "checksum"
    MALFORMED = "malformed"
    OTHER_FORMAT = "other_format"
    OTHER_MESH = "other_mesh"


@dataclass(frozen=True, slots=True)
class SnapshotFault:
    """Describe why a snapshot cannot be restored."""

    kind: SnapshotFaultKind
    detail: str


def encode_state(state: LedgerState) -> bytes:
    """Encode a snapshot; equal states give equal bytes."""
    preamble = {
        "format": SNAPSHOT_FORMAT,
        "mesh": state.mesh,
        "active_position": state.active_position,
        "forgotten_version": state.forgotten_version,
        "records": len(state.records),
    }
    records = b"".join(map(_encode_record, state.records))
    releases = encode_releases(state.releases)
    plain = encode_json(preamble) + b"\n" + records + releases
    packed = zlib.compress(plain, _COMPRESSION_LEVEL)
    return hashlib.sha256(packed).digest() + packed


def decode_state(data: bytes) -> Result[LedgerState, SnapshotFault]:
    """Decode a snapshot after checking its SHA-256 checksum."""
    packed = data[DIGEST_BYTES:]
    if hashlib.sha256(packed).digest() != data[:DIGEST_BYTES]:
        return _fault(SnapshotFaultKind.CHECKSUM, f"{len(data)} bytes")
    plain = _decompress(packed)
    if isinstance(plain, Err):
        return plain
    line, _, rest = plain.ok_value.partition(b"\n")
    preamble = _read_preamble(line)
    if isinstance(preamble, Err):
        return preamble
    return _decode_body(preamble.ok_value, rest)


def _decode_body(
    preamble: dict[str, Any],
    rest: bytes,
) -> Result[LedgerState, SnapshotFault]:
    size = preamble["records"] * _RECORD.size
    if len(rest) < size:
        return _malformed("records are truncated")
    records = tuple(
        ReleaseRecord(position, version, digest, key_id.hex())
        for position, version, digest, key_id in _RECORD.iter_unpack(
            rest[:size],
        )
    )
    releases = decode_releases(rest[size:])
    if isinstance(releases, Err):
        return _malformed(repr(releases.err_value))
    return _check_consistency(
        LedgerState(
            mesh=preamble["mesh"],
            active_position=preamble["active_position"],
            forgotten_version=preamble["forgotten_version"],
            records=records,
            releases=releases.ok_value,
        ),
    )


def _decompress(packed: bytes) -> Result[bytes, SnapshotFault]:
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(packed, MAX_SNAPSHOT_BYTES)
    except zlib.error:
        return _malformed("not a valid zlib stream")
    if not decompressor.eof or decompressor.unused_data:
        return _malformed("zlib stream is truncated or has trailing data")
    return Ok(plain)


def _read_preamble(line: bytes) -> Result[dict[str, Any], SnapshotFault]:
    try:
        preamble = json.loads(line)
    except (ValueError, RecursionError):
        return _malformed("preamble is not valid JSON")
    if not isinstance(preamble, dict):
        return _malformed("preamble is not a JSON object")
    if preamble.get("format") != SNAPSHOT_FORMAT:
        return _fault(
            SnapshotFaultKind.OTHER_FORMAT, "snapshot format is not known"
        )
    counts = ("active_position", "forgotten_version", "records")
    if not all(_is_count(preamble.get(key)) for key in counts):
        return _malformed(
            "counts in the preamble must be non-negative integers"
        )
    if not isinstance(preamble.get("mesh"), str):
        return _malformed("mesh in the preamble is not a string")
    return Ok(preamble)


def _is_count(value: object) -> bool:
    return type(value) is int and value >= 0


def _encode_record(record: ReleaseRecord) -> bytes:
    return _RECORD.pack(
        record.position,
        record.version,
        record.digest,
        bytes.fromhex(record.key_id),
    )


def _check_consistency(
    state: LedgerState,
) -> Result[LedgerState, SnapshotFault]:
    records, releases = state.records, state.releases
    if not all(
        right.position == left.position + 1 and right.version > left.version
        for left, right in pairwise(records)
    ):
        return _malformed("records are not in ascending order")
    if not all(
        right.release.position == left.release.position + 1
        for left, right in pairwise(releases)
    ):
        return _malformed("releases are not at consecutive positions")
    last_record = records[-1].position if records else 0
    last_release = releases[-1].release.position if releases else 0
    if last_record != last_release:
        return _malformed("last record and last release differ in position")
    positions = {each.release.position for each in releases}
    if state.active_position and state.active_position not in positions:
        return _malformed("active release is not among the releases")
    if records and records[0].version <= state.forgotten_version:
        return _malformed("a version is both forgotten and recorded")
    return Ok(state)


def _malformed(detail: str) -> Err[SnapshotFault]:
    return _fault(SnapshotFaultKind.MALFORMED, detail)


def _fault(kind: SnapshotFaultKind, detail: str) -> Err[SnapshotFault]:
    return Err(SnapshotFault(kind, detail))

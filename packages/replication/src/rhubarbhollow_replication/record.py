"""Checksummed binary formats of the store."""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from rhubarbhollow_replication.entry import Entry, EntryKind

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_PAYLOAD_BYTES: Final = 15 * 1024 * 1024
_RECORD_HEADER: Final = struct.Struct(">IIQQB")
_CHECKSUM_HEADER: Final = struct.Struct(">4sHI")
_CHECKSUM_MAGIC: Final = b"RHSL"
_CHECKSUM_VERSION: Final = 1
_BATCH_START: Final = 0x80
_RESET_KIND: Final = 0x7F


@dataclass(frozen=True, slots=True)
class CorruptBytes:
    """Data at ``offset`` has an invalid checksum or format."""

    offset: int


@dataclass(frozen=True, slots=True)
class Reset:
    """Discard all earlier records and continue after ``index``."""

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class Record:
    """A decoded record and the offset of its end.

    ``is_batch_start`` marks the first record appended after a sync. All
    records before it had been synced when it was written.
    """

    content: Entry | Reset
    is_batch_start: bool
    end: int


def add_checksum_header(body: bytes) -> bytes:
    """Return ``body`` preceded by a versioned checksum header."""
    return (
        _CHECKSUM_HEADER.pack(
            _CHECKSUM_MAGIC, _CHECKSUM_VERSION, zlib.crc32(body)
        )
        + body
    )


def strip_checksum_header(data: bytes) -> bytes | CorruptBytes:
    """Verify the checksum header of ``data`` and return the body."""
    if len(data) < _CHECKSUM_HEADER.size:
        return CorruptBytes(0)
    magic, version, checksum = _CHECKSUM_HEADER.unpack_from(data)
    body = data[_CHECKSUM_HEADER.size :]
    if (magic, version) != (_CHECKSUM_MAGIC, _CHECKSUM_VERSION):
        return CorruptBytes(0)
    if zlib.crc32(body) != checksum:
        return CorruptBytes(_CHECKSUM_HEADER.size)
    return body


def encode_record(content: Entry | Reset, is_batch_start: bool) -> bytes:
    """Encode checksum, length, index, term, kind and payload."""
    kind, payload = _RESET_KIND, b""
    if isinstance(content, Entry):
        kind, payload = int(content.kind), content.payload
    kind |= _BATCH_START * is_batch_start
    header = _RECORD_HEADER.pack(
        0, len(payload), content.index, content.term, kind
    )
    checked = header[4:] + payload
    return zlib.crc32(checked).to_bytes(4, "big") + checked


def decode_record(data: bytes, offset: int) -> Record | CorruptBytes:
    """Decode the record at ``offset`` of a segment's contents."""
    body = offset + _RECORD_HEADER.size
    if body > len(data):
        return CorruptBytes(offset)
    checksum, size, index, term, kind = _RECORD_HEADER.unpack_from(
        data, offset
    )
    end = body + size
    if size > MAX_PAYLOAD_BYTES or end > len(data):
        return CorruptBytes(offset)
    if zlib.crc32(memoryview(data)[offset + 4 : end]) != checksum:
        return CorruptBytes(offset)
    is_batch_start = bool(kind & _BATCH_START)
    kind &= ~_BATCH_START
    if kind == _RESET_KIND:
        return Record(Reset(index, term), is_batch_start, end)
    entry = Entry(index, term, EntryKind(kind), bytes(data[body:end]))
    return Record(entry, is_batch_start, end)


def decode_records(data: bytes, start: int) -> Iterator[Record | CorruptBytes]:
    """Yield the records from ``start`` up to the first corrupt one."""
    offset = start
    while offset < len(data):
        record = decode_record(data, offset)
        yield record
        if isinstance(record, CorruptBytes):
            return
        offset = record.end


def has_later_batch(data: bytes, offset: int) -> bool:
    """Return whether a valid batch start follows ``offset``.

    If so, corruption at ``offset`` affects data that had been synced.
    """
    for start in range(offset + 1, len(data) - _RECORD_HEADER.size + 1):
        if not data[start + _RECORD_HEADER.size - 1] & _BATCH_START:
            continue
        if isinstance(decode_record(data, start), Record):
            return True
    return False

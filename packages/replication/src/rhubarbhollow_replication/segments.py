"""Append-only segment files of the log."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from rhubarbhollow_replication.record import (
    CorruptBytes,
    Record,
    Reset,
    add_checksum_header,
    decode_records,
    encode_record,
    has_later_batch,
    strip_checksum_header,
)
from rhubarbhollow_replication.store_fault import CorruptRecord

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from rhubarbhollow_replication.disk import Disk, DiskFile
    from rhubarbhollow_replication.entry import Entry

# Size from which a new segment is started.
SEGMENT_BYTES: Final = 4 * 1024 * 1024
_HEADER: Final = struct.Struct(">4sHQ")
_MAGIC: Final = b"RHLG"
_VERSION: Final = 1
_SYNC_MARK: Final = struct.Struct(">QQ")
_SYNC_MARK_NAME: Final = "synced"
_SUFFIX: Final = ".log"


@dataclass(slots=True)
class _Segment:
    """A segment file and the highest index written to it."""

    number: int
    path: Path
    size: int
    last_index: int
    synced_size: int


class Segments:
    """Append records to segment files and read them back.

    Records are never rewritten. An entry with an existing index
    replaces the log from that index on, and a reset discards the whole
    log. Only a torn tail is truncated, when the folder is opened.

    The file ``synced`` stores up to which offset the last segment has
    been synced. It is written after each sync but not synced itself, so
    its position may lag behind but is never ahead. Corruption before
    that position affects durable data.
    """

    def __init__(
        self,
        folder: Path,
        disk: Disk,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        self._folder = folder
        self._disk = disk
        self._segment_bytes = segment_bytes
        self._segments: list[_Segment] = []
        self._file: DiskFile | None = None
        self._is_synced = True

    @property
    def last_path(self) -> Path:
        """The last segment file, or the folder if there is none."""
        return self._segments[-1].path if self._segments else self._folder

    def load(self) -> tuple[Entry | Reset, ...] | CorruptRecord:
        """Read all records in order and truncate a torn tail."""
        paths = [
            self._folder / name
            for name in self._disk.names(self._folder)
            if name.endswith(_SUFFIX)
        ]
        contents: list[Entry | Reset] = []
        mark_number, mark_offset = self._read_sync_mark()
        for path in paths:
            number = _number(path)
            durable = mark_offset if number == mark_number else 0
            is_last = path == paths[-1] and number >= mark_number
            found = self._load_segment(path, number, durable, is_last)
            if isinstance(found, CorruptRecord):
                return found
            contents.extend(found)
        if mark_number > max(map(_number, paths), default=0):
            return CorruptRecord(str(self._folder / _SYNC_MARK_NAME), 0)
        return tuple(contents)

    def append(self, contents: Iterable[Entry | Reset]) -> None:
        """Append records with a single write, without syncing."""
        segment = self._open_segment()
        encoded = bytearray()
        for content in contents:
            encoded += encode_record(content, self._is_synced)
            self._is_synced = False
            segment.last_index = max(segment.last_index, content.index)
        if self._file is not None:
            self._file.write(bytes(encoded))
        segment.size += len(encoded)

    def sync(self) -> None:
        """Make all appended records durable and save the position."""
        if self._file is None:
            return
        self._file.sync()
        self._is_synced = True
        segment = self._segments[-1]
        segment.synced_size = segment.size
        mark = add_checksum_header(
            _SYNC_MARK.pack(segment.number, segment.size)
        )
        self._disk.overwrite(self._folder / _SYNC_MARK_NAME, mark)

    def sync_last(self) -> None:
        """Make the last loaded segment durable; others were synced."""
        if not self._segments:
            return
        file = self._disk.open(self._segments[-1].path)
        try:
            file.sync()
        finally:
            file.close()
        self._segments[-1].synced_size = self._segments[-1].size

    def discard_unsynced(self) -> None:
        """Truncate the last segment to its synced size and close it.

        After a failed write or sync the file may hold records that the
        disk does not have.
        """
        self.roll()
        if not self._segments:
            return
        segment = self._segments[-1]
        if segment.path.name in self._disk.names(self._folder):
            self._disk.truncate(segment.path, segment.synced_size)

    def drop_until(self, index: int) -> None:
        """Delete leading segments without records after ``index``.

        The last segment is always kept.
        """
        while len(self._segments) > 1:
            if self._segments[0].last_index > index:
                return
            self._disk.remove(self._segments.pop(0).path)
            # Deletions that become durable out of order would leave
            # a gap in the log after a crash.
            self._disk.sync_folder(self._folder)

    def roll(self) -> None:
        """Start a new segment at the next append.

        Everything appended so far must be synced.
        """
        file, self._file = self._file, None
        if file is not None:
            file.close()

    def _open_segment(self) -> _Segment:
        if self._file is None:
            return self._create_segment()
        is_full = self._segments[-1].size >= self._segment_bytes
        if is_full and self._is_synced:
            self.roll()
            return self._create_segment()
        return self._segments[-1]

    def _create_segment(self) -> _Segment:
        number = self._segments[-1].number + 1 if self._segments else 1
        path = self._folder / f"{number:012d}{_SUFFIX}"
        header = _HEADER.pack(_MAGIC, _VERSION, number)
        segment = _Segment(number, path, len(header), 0, 0)
        self._file = self._disk.open(path)
        self._segments.append(segment)
        self._file.write(header)
        self._file.sync()
        segment.synced_size = segment.size
        self._disk.sync_folder(self._folder)
        return segment

    def _read_sync_mark(self) -> tuple[int, int]:
        if _SYNC_MARK_NAME not in self._disk.names(self._folder):
            return 0, 0
        body = strip_checksum_header(
            self._disk.read(self._folder / _SYNC_MARK_NAME)
        )
        if isinstance(body, CorruptBytes) or len(body) != _SYNC_MARK.size:
            return 0, 0
        number, offset = _SYNC_MARK.unpack(body)
        return number, offset

    def _load_segment(
        self, path: Path, number: int, durable: int, is_last: bool
    ) -> list[Entry | Reset] | CorruptRecord:
        data = self._disk.read(path)
        header = _HEADER.pack(_MAGIC, _VERSION, number)
        if data[: len(header)] != header:
            return self._load_without_header(path, data, durable, is_last)
        if len(data) < durable:
            return CorruptRecord(str(path), len(data))
        segment = _Segment(number, path, len(data), 0, 0)
        contents: list[Entry | Reset] = []
        for record in decode_records(data, len(header)):
            if isinstance(record, Record):
                contents.append(record.content)
                continue
            offset = record.offset
            is_torn = is_last and offset >= durable
            if not is_torn or has_later_batch(data, offset):
                return CorruptRecord(str(path), offset)
            self._disk.truncate(path, offset)
            segment.size = offset
        segment.last_index = max((c.index for c in contents), default=0)
        self._segments.append(segment)
        return contents

    def _load_without_header(
        self, path: Path, data: bytes, durable: int, is_last: bool
    ) -> list[Entry | Reset] | CorruptRecord:
        # The header is synced before the first record is written. A
        # file with an invalid header that is longer than a header was
        # therefore valid once and is corrupt, not torn.
        if not is_last or durable or len(data) > _HEADER.size:
            return CorruptRecord(str(path), 0)
        self._disk.remove(path)
        self._disk.sync_folder(self._folder)
        return []


def _number(path: Path) -> int:
    return int(path.name.removesuffix(_SUFFIX))

"""Durable store of one replica in a data folder."""

from __future__ import annotations

import errno
import json
import random
from typing import TYPE_CHECKING, Final

import structlog
from result import Err, Ok, Result

from rhubarbhollow_replication.disk import Disk, OsDisk, SyncError
from rhubarbhollow_replication.formation import (
    FORMATION_NAME,
    IDENTITY_NAME,
    read_formation,
    set_aside_prefix,
)
from rhubarbhollow_replication.member import FOUNDING_STORE_ID
from rhubarbhollow_replication.record import (
    CorruptBytes,
    Reset,
    add_checksum_header,
    strip_checksum_header,
)
from rhubarbhollow_replication.recovered_state import RecoveredState
from rhubarbhollow_replication.replaced_file import replace_file
from rhubarbhollow_replication.segments import SEGMENT_BYTES, Segments
from rhubarbhollow_replication.snapshot import Snapshot, decode_snapshot
from rhubarbhollow_replication.store_fault import (
    CorruptRecord,
    DiskFailed,
    DiskFull,
    StoreFault,
    SyncFailed,
)
from rhubarbhollow_replication.vote_state import VoteState
from rhubarbhollow_replication.write import (
    InstallSnapshot,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    Write,
)

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from rhubarbhollow_replication.entry import Entry

_log = structlog.get_logger()

STORE_ID_BITS: Final = 64
_VOTE_NAME: Final = "vote"
_SNAPSHOT_NAME: Final = "snapshot"


class LogStore:
    """Durable votes, log entries and the latest snapshot.

    A folder is formatted once with a store ID, which is written last.
    It is random, or that of all founding stores if the right to form
    the log has been recorded in the folder. A folder with neither an ID
    nor segments has therefore never been used for a vote or an
    acknowledged entry. A folder with segments but no ID is corrupt.
    """

    def __init__(
        self,
        folder: Path,
        disk: Disk,
        segments: Segments,
        recovered: RecoveredState,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        self._folder = folder
        self._disk = disk
        self._segments = segments
        self._recovered = recovered
        self._segment_bytes = segment_bytes

    @property
    def store_id(self) -> str:
        """The random ID that the folder got when it was formatted."""
        return self._recovered.store_id

    @property
    def recovered(self) -> RecoveredState:
        """The state read when the folder was opened."""
        return self._recovered

    @classmethod
    def open(
        cls,
        folder: Path,
        *,
        disk: Disk | None = None,
        random_source: random.Random | None = None,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> Result[LogStore, StoreFault]:
        """Open the store in ``folder``, formatting an unused folder.

        ``random_source`` generates the IDs of new stores. Two stores
        of one member must never share an ID, so only tests may set it.
        """
        disk = disk or OsDisk()
        source = random_source or random.SystemRandom()
        segments = Segments(folder, disk, segment_bytes)
        try:
            disk.make_folder(folder)
            if IDENTITY_NAME not in disk.names(folder):
                fault = _format(folder, disk, source)
                if fault is not None:
                    return Err(fault)
            recovered = _recover(folder, disk, segments)
        except OSError as error:
            return Err(_to_fault(error, folder))
        if isinstance(recovered, CorruptRecord):
            return Err(recovered)
        return Ok(cls(folder, disk, segments, recovered, segment_bytes))

    def reopen(self) -> Result[LogStore, StoreFault]:
        """Open the store again after a write has failed.

        Everything whose durability is uncertain is discarded or written
        again, which also fails while the disk accepts no writes. Call
        it again until it succeeds, then use only the returned store.
        """
        folder, disk = self._folder, self._disk
        segments = Segments(folder, disk, self._segment_bytes)
        try:
            self._segments.discard_unsynced()
            recovered = _recover(folder, disk, segments)
            if isinstance(recovered, CorruptRecord):
                return Err(recovered)
            _rewrite_replaced_files(folder, disk, recovered)
        except OSError as error:
            return Err(_to_fault(error, folder))
        return Ok(
            LogStore(folder, disk, segments, recovered, self._segment_bytes)
        )

    def write(self, writes: Iterable[Write]) -> Result[None, StoreFault]:
        """Make ``writes`` durable in the given order.

        Entries share one fsync at the end. After an error nothing else
        may be written until the store is reopened, because it is
        unknown which data is durable.
        """
        try:
            self._write_all(writes)
        except OSError as error:
            return Err(_to_fault(error, self._segments.last_path))
        return Ok(None)

    def close(self) -> None:
        """Close the open segment."""
        self._segments.roll()

    def _write_all(self, writes: Iterable[Write]) -> None:
        is_dirty = False
        for write in writes:
            match write:
                case SaveEntries(entries):
                    self._segments.append(entries)
                    is_dirty = True
                case SaveVote(state):
                    body = _encode_vote(state)
                    replace_file(
                        self._folder,
                        self._disk,
                        _VOTE_NAME,
                        add_checksum_header(body),
                    )
                case SaveSnapshot(snapshot):
                    self._save_snapshot(snapshot, is_installed=False)
                case InstallSnapshot(snapshot):
                    self._save_snapshot(snapshot, is_installed=True)
                    is_dirty = True
        if is_dirty:
            self._segments.sync()

    def _save_snapshot(self, snapshot: Snapshot, is_installed: bool) -> None:
        encoded = snapshot.encode()
        replace_file(self._folder, self._disk, _SNAPSHOT_NAME, encoded)
        if is_installed:
            reset = Reset(snapshot.last_index, snapshot.last_term)
            self._segments.append((reset,))
        self._segments.sync()
        self._segments.drop_until(snapshot.last_index)
        self._segments.roll()


def set_aside(folder: Path, disk: Disk | None = None) -> Path:
    """Rename the folder of a corrupt store and return its new path.

    The renamed folder is kept for inspection. When the caller opens
    ``folder`` again, the member gets a new store ID and is treated as
    one that lost its disk.
    """
    disk = disk or OsDisk()
    siblings = disk.names(folder.parent)
    prefix = set_aside_prefix(folder)
    number = sum(name.startswith(prefix) for name in siblings)
    target = folder.with_name(f"{prefix}-{number + 1}")
    disk.rename(folder, target)
    disk.sync_folder(folder.parent)
    _log.error("store_set_aside", folder=str(folder), target=str(target))
    return target


def _format(
    folder: Path, disk: Disk, source: random.Random
) -> CorruptRecord | None:
    leftovers = disk.names(folder)
    if any(name.endswith(".log") for name in leftovers):
        # Segments are created only after the store ID is written, so
        # a folder with segments has lost its ID.
        return CorruptRecord(str(folder / IDENTITY_NAME), 0)
    founders = read_formation(folder, disk)
    if isinstance(founders, CorruptBytes):
        return CorruptRecord(str(folder / FORMATION_NAME), founders.offset)
    unused_vote = add_checksum_header(_encode_vote(VoteState()))
    has_vote = _VOTE_NAME in leftovers
    if founders and has_vote and disk.read(folder / _VOTE_NAME) != unused_vote:
        # A founding store must not be formatted twice: its ID would not
        # tell that the first one's vote was lost.
        return CorruptRecord(str(folder / IDENTITY_NAME), 0)
    replace_file(folder, disk, _VOTE_NAME, unused_vote)
    store_id = f"{source.getrandbits(STORE_ID_BITS):016x}"
    if founders:
        store_id = FOUNDING_STORE_ID
    replace_file(
        folder, disk, IDENTITY_NAME, add_checksum_header(store_id.encode())
    )
    disk.sync_folder(folder.parent)
    return None


def _recover(
    folder: Path, disk: Disk, segments: Segments
) -> RecoveredState | CorruptRecord:
    # A process that was killed may have left names and entries that it
    # had not synced. Others will rely on what is recovered here.
    disk.sync_folder(folder)
    names = disk.names(folder)
    identity = _read_checksummed(folder / IDENTITY_NAME, disk, names)
    if isinstance(identity, CorruptRecord):
        return identity
    vote = _read_checksummed(folder / _VOTE_NAME, disk, names)
    if isinstance(vote, CorruptRecord):
        return vote
    founders = read_formation(folder, disk)
    if isinstance(founders, CorruptBytes):
        return CorruptRecord(str(folder / FORMATION_NAME), founders.offset)
    snapshot = _read_snapshot(folder / _SNAPSHOT_NAME, disk, names)
    if isinstance(snapshot, CorruptRecord):
        return snapshot
    contents = segments.load()
    if isinstance(contents, CorruptRecord):
        return contents
    if not contents:
        disk.sync_folder(folder.parent)
    segments.sync_last()
    entries = _replay(contents, snapshot)
    if entries is None:
        return CorruptRecord(str(folder), 0)
    if snapshot is not None and not entries:
        _append_reset(contents, snapshot, segments)
    return RecoveredState(
        identity.decode(),
        _decode_vote(vote),
        snapshot,
        tuple(entries),
        founders=founders,
    )


def _rewrite_replaced_files(
    folder: Path, disk: Disk, recovered: RecoveredState
) -> None:
    """Replace the vote and the snapshot by copies.

    If the sync of the folder failed after a rename, a second sync may
    succeed although the new name is not durable.
    """
    vote = add_checksum_header(_encode_vote(recovered.vote))
    replace_file(folder, disk, _VOTE_NAME, vote)
    if recovered.snapshot is not None:
        encoded = recovered.snapshot.encode()
        replace_file(folder, disk, _SNAPSHOT_NAME, encoded)


def _append_reset(
    contents: tuple[Entry | Reset, ...],
    snapshot: Snapshot,
    segments: Segments,
) -> None:
    """Append the reset record that is missing after the snapshot.

    A crash between saving an installed snapshot and appending its reset
    leaves old entries in the segments. Without the reset, a later start
    would report a gap before the next entries, or treat the old entries
    as part of the log.
    """
    if not contents or isinstance(contents[-1], Reset):
        return
    segments.append((Reset(snapshot.last_index, snapshot.last_term),))
    segments.sync()


def _replay(
    contents: Iterable[Entry | Reset], snapshot: Snapshot | None
) -> list[Entry] | None:
    """Return the entries after the snapshot, or ``None`` on a gap."""
    entries: list[Entry] = []
    for content in contents:
        if isinstance(content, Reset):
            entries.clear()
            continue
        while entries and entries[-1].index >= content.index:
            entries.pop()
        if entries and entries[-1].index + 1 != content.index:
            return None
        entries.append(content)
    base, term = (
        (snapshot.last_index, snapshot.last_term) if snapshot else (0, 0)
    )
    if not entries or entries[-1].index <= base:
        return []
    if entries[0].index > base + 1:
        return None
    if any(e.index == base and e.term != term for e in entries):
        # The leader's snapshot was saved but its reset was not.
        return []
    return [entry for entry in entries if entry.index > base]


def _read_checksummed(
    path: Path, disk: Disk, names: list[str]
) -> bytes | CorruptRecord:
    if path.name not in names:
        return CorruptRecord(str(path), 0)
    body = strip_checksum_header(disk.read(path))
    if isinstance(body, CorruptBytes):
        return CorruptRecord(str(path), body.offset)
    return body


def _read_snapshot(
    path: Path, disk: Disk, names: list[str]
) -> Snapshot | CorruptRecord | None:
    if path.name not in names:
        return None
    snapshot = decode_snapshot(disk.read(path))
    if isinstance(snapshot, CorruptBytes):
        return CorruptRecord(str(path), snapshot.offset)
    return snapshot


def _encode_vote(state: VoteState) -> bytes:
    row = [state.term, state.candidate, state.candidate_store_id]
    return json.dumps(row).encode()


def _decode_vote(body: bytes) -> VoteState:
    term, candidate, candidate_store_id = json.loads(body)
    return VoteState(term, candidate, candidate_store_id)


def _to_fault(error: OSError, path: Path) -> StoreFault:
    if isinstance(error, SyncError):
        return SyncFailed(str(path), error.errno or 0)
    if error.errno == errno.ENOSPC:
        return DiskFull(str(path))
    return DiskFailed(str(path), error.errno or 0)

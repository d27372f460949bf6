"""Tests of the store on a disk with injected faults."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path
from random import Random

import pytest
from fake_disk import CrashError, FakeDisk
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Ok

from rhubarbhollow_replication.configuration import initial_configuration
from rhubarbhollow_replication.entry import Entry, EntryKind
from rhubarbhollow_replication.formation import record_formation
from rhubarbhollow_replication.member import FOUNDING_STORE_ID
from rhubarbhollow_replication.snapshot import Snapshot
from rhubarbhollow_replication.store import LogStore, set_aside
from rhubarbhollow_replication.store_fault import (
    CorruptRecord,
    DiskFull,
    SyncFailed,
)
from rhubarbhollow_replication.vote_state import VoteState
from rhubarbhollow_replication.write import (
    InstallSnapshot,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
)

FOLDER = Path("/data/a")
MEMBERS = initial_configuration(("a", "b", "c"))


def entry(index, term=1, payload=b"payload"):
    return Entry(index, term, EntryKind.COMMAND, payload)


def entries(first, last, term=1):
    return SaveEntries(tuple(entry(i, term) for i in range(first, last + 1)))


def snapshot(index, term=1):
    return Snapshot(index, term, MEMBERS, b"state")


def open_store(disk, segment_bytes=120):
    return LogStore.open(
        FOLDER, disk=disk, random_source=Random(1), segment_bytes=segment_bytes
    )


def filled_disk(*batches, segment_bytes=120):
    disk = FakeDisk(Random(1))
    store = open_store(disk, segment_bytes).unwrap()
    for batch in batches:
        assert store.write(batch) == Ok(None)
    return disk


def recovered_indexes(disk):
    state = open_store(disk).unwrap().recovered
    base = state.snapshot.last_index if state.snapshot else 0
    return base, [(e.index, e.term) for e in state.entries]


@pytest.mark.parametrize(
    ("batches", "expected"),
    [
        ([], (0, [])),
        ([[entries(1, 3)]], (0, [(1, 1), (2, 1), (3, 1)])),
        ([[entries(1, 3)], [entries(2, 2, 2)]], (0, [(1, 1), (2, 2)])),
        ([[entries(1, 2), entries(2, 3, 2)]], (0, [(1, 1), (2, 2), (3, 2)])),
        ([[entries(1, 4)], [SaveSnapshot(snapshot(3))]], (3, [(4, 1)])),
        ([[entries(1, 9)], [SaveSnapshot(snapshot(9))]], (9, [])),
        ([[entries(1, 4)], [InstallSnapshot(snapshot(9, 2))]], (9, [])),
        ([[entries(1, 9)], [InstallSnapshot(snapshot(4, 2))]], (4, [])),
        ([[InstallSnapshot(snapshot(9)), entries(10, 10)]], (9, [(10, 1)])),
        (
            [[SaveSnapshot(snapshot(0))], [entries(1, 2)]],
            (0, [(1, 1), (2, 1)]),
        ),
    ],
)
def test_written_state_is_recovered(batches, expected):
    """Check that written state survives a restart and a crash.

    Later entries replace the log from their index on, and snapshots
    replace a prefix or all of it.
    """
    disk = filled_disk(*batches)
    assert recovered_indexes(disk) == expected
    disk.crash()
    assert recovered_indexes(disk) == expected


@pytest.mark.parametrize("operations", range(12))
@pytest.mark.parametrize("seed", range(8))
def test_what_a_restart_recovered_survives_a_power_loss(operations, seed):
    """Check that no unsynced write of a killed process is trusted.

    The member answers others by what it recovered, and a power loss may
    follow at any time.
    """
    disk = filled_disk([entries(1, 2)])
    disk.random = Random(seed)
    store = open_store(disk).unwrap()
    writes = [
        entries(3, 5),
        SaveVote(VoteState(4, "b", "store-b")),
        SaveSnapshot(snapshot(2)),
        entries(6, 6),
    ]
    disk.crash_after = operations
    with suppress(CrashError):
        for write in writes:
            store.write([write])
    disk.crash_after = None
    trusted = open_store(disk).unwrap().recovered
    disk.crash()
    assert open_store(disk).unwrap().recovered == trusted


@pytest.mark.parametrize(
    ("existing", "installed"),
    [
        # The log ends before the leader's snapshot.
        (entries(1, 4), snapshot(9, 2)),
        # The log extends past the snapshot with another term.
        (entries(1, 12), snapshot(9, 2)),
    ],
)
@pytest.mark.parametrize("segment_bytes", [120, 10_000])
def test_entries_after_an_interrupted_install_are_kept(
    existing, installed, segment_bytes
):
    """Check that entries after an interrupted install are recovered.

    A crash between an installed snapshot and its reset leaves old
    entries in the segments. Entries written later do not follow these
    and could be mistaken for a gap or lost on a later start.
    """
    disk = filled_disk([existing], segment_bytes=segment_bytes)
    # A crash between the snapshot and its reset leaves this state.
    store = open_store(disk, segment_bytes).unwrap()
    assert store.write([SaveSnapshot(installed)]) == Ok(None)
    for first in (10, 12):
        store = open_store(disk, segment_bytes).unwrap()
        written = store.write([entries(first, first + 1, 2)])
        assert written == Ok(None)
        disk.crash()
    expected = [(index, 2) for index in range(10, 14)]
    assert recovered_indexes(disk) == (9, expected)


def test_votes_and_store_id_survive_a_crash():
    """Check that the latest vote and the store ID survive a crash.

    A replica without its vote could vote twice in a term.
    """
    vote = VoteState(7, "b", "store-b")
    disk = filled_disk([SaveVote(VoteState(6))], [SaveVote(vote)])
    disk.crash()
    first, second = open_store(disk).unwrap(), open_store(disk).unwrap()
    assert first.recovered.vote == vote
    assert first.store_id == second.store_id != ""


def test_store_on_the_operating_system(tmp_path):
    """Check the store with real files, including a corrupt folder.

    A corrupt folder is renamed, and the member gets a new store ID.
    """
    store = LogStore.open(tmp_path / "a").unwrap()
    assert store.write([entries(1, 3), SaveVote(VoteState(2))]) == Ok(None)
    store.close()
    again = LogStore.open(tmp_path / "a").unwrap()
    assert again.store_id == store.store_id
    assert again.recovered.entries == entries(1, 3).entries
    assert again.recovered.vote == VoteState(2)
    log = next((tmp_path / "a").glob("*.log"))
    log.write_bytes(log.read_bytes()[:-1])
    assert isinstance(LogStore.open(tmp_path / "a").err(), CorruptRecord)
    renamed = set_aside(tmp_path / "a")
    assert renamed.name == "a.corrupt-1"
    fresh = LogStore.open(tmp_path / "a").unwrap()
    assert fresh.store_id != store.store_id
    assert fresh.recovered.entries == ()


def test_torn_tail_of_any_length_is_truncated():
    """Check that a write torn at any length is truncated on recovery.

    Synced records and complete records of the write are kept.
    """
    disk = filled_disk([entries(1, 2)], segment_bytes=10_000)
    path = next(p for p in disk.names_now if p.suffix == ".log")
    durable = disk.read(path)
    longer = filled_disk([entries(1, 2)], [entries(3, 4)], segment_bytes=9999)
    tail = longer.read(path)[len(durable) :]
    for length in range(len(tail)):
        disk.names_now[path].content = durable + tail[:length]
        kept = recovered_indexes(disk)[1]
        assert kept in ([(1, 1), (2, 1)], [(1, 1), (2, 1), (3, 1)])
        assert (len(kept) == 3) == (length >= len(tail) // 2)


@pytest.mark.parametrize("segment_bytes", [120, 10_000])
def test_bit_flip_at_any_offset_is_detected(segment_bytes):
    """Check that a flipped bit in any file is detected on opening.

    Only ``synced`` may be corrupt, since the store works without it.
    """
    batches = ([SaveVote(VoteState(3))], [entries(1, 5)], [entries(6, 7)])
    snapshots = ([SaveSnapshot(snapshot(2))], [entries(8, 9)])
    disk = filled_disk(*batches, *snapshots, segment_bytes=segment_bytes)
    good = recovered_indexes(disk)
    for path in sorted(disk.names_now):
        node = disk.names_now[path]
        content = node.content
        for offset in range(len(content)):
            disk.flip(path, offset)
            opened = open_store(disk)
            if path.name == "synced":
                assert recovered_indexes(disk) == good
            else:
                assert isinstance(opened.err(), CorruptRecord), (path, offset)
            node.content = content


@pytest.mark.parametrize("name", ["store", "vote"])
def test_missing_file_is_reported_as_corruption(name):
    """Check that a folder without its ID or vote is not reformatted.

    A new, empty store would have lost votes and acknowledged entries.
    """
    disk = filled_disk([entries(1, 5)])
    disk.remove(FOLDER / name)
    assert isinstance(open_store(disk).err(), CorruptRecord)


def test_missing_last_segment_is_detected_by_the_sync_mark():
    """Check that the ``synced`` file reveals a missing last segment.

    The remaining segments are valid on their own.
    """
    disk = filled_disk([entries(1, 5)], [entries(6, 9)])
    last = max(p for p in disk.names_now if p.suffix == ".log")
    disk.remove(last)
    assert isinstance(open_store(disk).err(), CorruptRecord)


def test_corruption_before_a_later_batch_is_detected():
    """Check that corruption before a batch is not a torn tail.

    A later batch proves that the data before it had been synced, even
    if the ``synced`` file is missing.
    """
    disk = filled_disk([entries(1, 2)], [entries(3, 4)], segment_bytes=9999)
    disk.remove(FOLDER / "synced")
    path = next(p for p in disk.names_now if p.suffix == ".log")
    size = len(disk.read(path))
    disk.flip(path, size // 3)
    assert isinstance(open_store(disk).err(), CorruptRecord)


@pytest.mark.parametrize(
    ("attribute", "fault"), [("fails_sync", SyncFailed), ("is_full", DiskFull)]
)
@pytest.mark.parametrize(
    "write",
    [entries(4, 5), SaveVote(VoteState(9)), InstallSnapshot(snapshot(8))],
)
def test_failed_write_returns_a_fault_and_keeps_older_data(
    attribute, fault, write
):
    """Check that a failed write is reported and loses no older data."""
    disk = filled_disk([entries(1, 3)])
    store = open_store(disk).unwrap()
    setattr(disk, attribute, True)
    assert isinstance(store.write([write]).err(), fault)
    disk.crash()
    base, kept = recovered_indexes(disk)
    assert base == 8 or kept[:3] == [(1, 1), (2, 1), (3, 1)]


@pytest.mark.parametrize("attribute", ["fails_sync", "is_full"])
@pytest.mark.parametrize(
    "write",
    [
        entries(4, 5),
        SaveVote(VoteState(9)),
        SaveSnapshot(snapshot(2)),
        InstallSnapshot(snapshot(8)),
    ],
)
def test_reopened_store_relies_on_nothing_that_was_not_synced(
    attribute, write
):
    """Guard against trusting pages that a failed sync marked clean.

    What the reopened store reports must outlast a loss of power.
    """
    disk = filled_disk([entries(1, 3)])
    store = open_store(disk).unwrap()
    setattr(disk, attribute, True)
    assert store.write([write]).is_err()
    assert store.reopen().is_err()
    setattr(disk, attribute, False)
    reopened = store.reopen().unwrap()
    found = reopened.recovered
    assert reopened.write([entries(found_last(found) + 1, 12)]).is_ok()
    disk.crash()
    kept = open_store(disk).unwrap().recovered
    assert (kept.vote, kept.snapshot) == (found.vote, found.snapshot)
    assert kept.entries[: len(found.entries)] == found.entries
    assert found_last(kept) == 12


def found_last(recovered):
    if recovered.entries:
        return recovered.entries[-1].index
    return recovered.snapshot.last_index


class StoreMachine(RuleBasedStateMachine):
    """Compare the store with a list, with crashes at any operation."""

    def __init__(self):
        super().__init__()
        self.disk = FakeDisk(Random(5))
        self.store = open_store(self.disk).unwrap()
        self.log = []
        self.base = 0
        self.vote = VoteState()
        self.term = 1

    def write(self, write, log, base, vote, crash_after):
        """Write to the store; a crash leaves the old or new state."""
        self.disk.crash_after = crash_after
        old, new = (self.log, self.base, self.vote), (log, base, vote)
        is_done = False
        try:
            assert self.store.write([write]) == Ok(None)
            is_done = True
        except CrashError:
            pass
        self.log, self.base, self.vote = new
        if crash_after is None:
            return
        self.disk.crash()
        self.store = open_store(self.disk).unwrap()
        state = self.store.recovered
        found_base = state.snapshot.last_index if state.snapshot else 0
        found = (list(state.entries), found_base, state.vote)
        assert found == new or not is_done
        assert found in (old, new) or self.is_between(found, old, new)
        self.log, self.base, self.vote = found

    def is_between(self, found, old, new):
        """Return whether ``found`` has a prefix of the new entries."""
        if not found[1:] == old[1:] == new[1:]:
            return False
        shared = sum(a == b for a, b in zip(old[0], new[0], strict=False))
        count = len(found[0])
        return count > shared and found[0] == new[0][:count]

    @rule(
        back=st.integers(0, 3),
        count=st.integers(1, 4),
        crash=st.none() | st.integers(0, 6),
    )
    def append(self, back, count, crash):
        self.term += 1
        kept = self.log[: max(0, len(self.log) - back)]
        first = self.base + len(kept) + 1
        added = [entry(first + n, self.term) for n in range(count)]
        write = SaveEntries(tuple(added))
        self.write(write, kept + added, self.base, self.vote, crash)

    @rule(crash=st.none() | st.integers(0, 8))
    def vote_in_next_term(self, crash):
        vote = VoteState(self.vote.term + 1, "b", "x")
        self.write(SaveVote(vote), self.log, self.base, vote, crash)

    @rule(back=st.integers(0, 3), crash=st.none() | st.integers(0, 16))
    def compact(self, back, crash):
        cut = max(0, len(self.log) - back)
        if cut == 0:
            return
        last = self.log[cut - 1]
        saved = SaveSnapshot(snapshot(last.index, last.term))
        rest = self.log[cut:]
        self.write(saved, rest, last.index, self.vote, crash)

    @rule(ahead=st.integers(1, 3), crash=st.none() | st.integers(0, 16))
    def install(self, ahead, crash):
        self.term += 1
        index = self.base + len(self.log) + ahead
        saved = InstallSnapshot(snapshot(index, self.term))
        self.write(saved, [], index, self.vote, crash)

    @invariant()
    def indexes_are_contiguous(self):
        expected = list(range(self.base + 1, self.base + len(self.log) + 1))
        assert [e.index for e in self.log] == expected


StoreMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=25, deadline=None
)
TestStoreMachine = StoreMachine.TestCase


def test_the_right_to_form_the_log_outlasts_a_crash_at_any_operation():
    """Guard against a first start whose kill leaves no right to form.

    Once the record has been made, every later start has it, and the
    store has the one ID that a founding store may have.
    """
    members = ("a", "b", "c")
    for operations in range(60):
        disk = FakeDisk(Random(operations))
        record_formation(FOLDER, members, disk)
        disk.crash_after = operations
        with suppress(CrashError):
            open_store(disk).unwrap().write([entries(1, 2)])
        disk.crash()
        state = open_store(disk).unwrap().recovered
        assert state.founders == members
        assert state.store_id == FOUNDING_STORE_ID


def test_a_store_that_was_set_aside_leaves_no_right_to_form(tmp_path):
    """Guard against a second log: the lost store may have voted."""
    folder = tmp_path / "log"
    record_formation(folder, ("a", "b", "c"))
    store = LogStore.open(folder).unwrap()
    assert store.write([SaveVote(VoteState(3, "a", "x"))]) == Ok(None)
    (folder / "store").unlink()
    opened = LogStore.open(folder)
    assert isinstance(opened.err_value, CorruptRecord)
    set_aside(folder)
    record_formation(folder, ("a", "b", "c"))
    state = LogStore.open(folder).unwrap().recovered
    assert state.founders == ()
    assert state.store_id != FOUNDING_STORE_ID


def test_a_store_of_a_later_start_has_no_right_to_form():
    """Guard against a second log after the loss of a disk."""
    disk = FakeDisk(Random(1))
    store_id = open_store(disk).unwrap().store_id
    record_formation(FOLDER, ("a", "b", "c"), disk)
    state = open_store(disk).unwrap().recovered
    assert (state.store_id, state.founders) == (store_id, ())

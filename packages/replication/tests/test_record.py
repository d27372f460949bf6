"""Tests of the record formats with random data and corruption."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhollow_replication.configuration import initial_configuration
from rhubarbhollow_replication.entry import Entry, EntryKind
from rhubarbhollow_replication.record import (
    CorruptBytes,
    Record,
    Reset,
    add_checksum_header,
    decode_record,
    decode_records,
    encode_record,
    has_later_batch,
    strip_checksum_header,
)
from rhubarbhollow_replication.snapshot import Snapshot, decode_snapshot

INDEXES = st.integers(1, 2**63)
CONTENTS = st.builds(
    Entry, INDEXES, INDEXES, st.sampled_from(EntryKind), st.binary(max_size=40)
) | st.builds(Reset, INDEXES, INDEXES)
FIXED = settings(derandomize=True, max_examples=80, deadline=None)


@FIXED
@given(st.lists(st.tuples(CONTENTS, st.booleans()), max_size=5))
def test_records_are_read_back_in_order(rows):
    data = b"".join(encode_record(*row) for row in rows)
    records = list(decode_records(data, 0))
    assert [(r.content, r.is_batch_start) for r in records] == rows


@FIXED
@given(CONTENTS, st.booleans(), st.data())
def test_any_flipped_bit_or_cut_is_found(content, is_batch_start, data):
    whole = encode_record(content, is_batch_start)
    bit = data.draw(st.integers(0, len(whole) * 8 - 1))
    damaged = bytearray(whole)
    damaged[bit // 8] ^= 1 << bit % 8
    assert isinstance(decode_record(bytes(damaged), 0), CorruptBytes)
    cut = data.draw(st.integers(0, len(whole) - 1))
    assert isinstance(decode_record(whole[:cut], 0), CorruptBytes)
    assert isinstance(decode_record(whole, 0), Record)


@pytest.mark.parametrize(
    ("flags", "expected"),
    [([True], False), ([False, False], False), ([False, True], True)],
)
def test_only_a_later_batch_proves_a_sync(flags, expected):
    """Check that only the start of a later batch proves a sync.

    Corruption before it affects durable data; without it, the corrupt
    record may be a torn tail.
    """
    entry = Entry(1, 1, EntryKind.COMMAND, b"x")
    data = b"\0" * 9 + b"".join(encode_record(entry, f) for f in flags[1:])
    assert has_later_batch(data, 0) == expected


@FIXED
@given(INDEXES, INDEXES, st.binary(max_size=50), st.data())
def test_a_snapshot_survives_only_whole(index, term, state, data):
    members = initial_configuration(("a", "b"))
    snapshot = Snapshot(index, term, members, state)
    encoded = snapshot.encode()
    assert decode_snapshot(encoded) == snapshot
    cut = data.draw(st.integers(0, len(encoded) - 1))
    assert isinstance(decode_snapshot(encoded[:cut]), CorruptBytes)
    assert strip_checksum_header(add_checksum_header(state)) == state

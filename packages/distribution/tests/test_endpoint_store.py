"""Merging and replication of endpoint records."""

from __future__ import annotations

from dataclasses import replace

import pytest
from endpoint_fakes import gone, load, record, states

from rhubarbhollow_distribution.endpoint_pacer import EndpointPacer
from rhubarbhollow_distribution.endpoint_store import (
    TOMBSTONE_SECONDS,
    UNREACHABLE_GRACE_SECONDS,
    EndpointStore,
)
from rhubarbhollow_distribution.endpoint_table import (
    EndpointTable,
    NeedsEndpoints,
)
from rhubarbhollow_wire.clock import ManualClock

OLD = record(sequence=1)
NEW = record(sequence=2)
OTHER = record("b", sequence=1)


def store_of(clock=None):
    return EndpointStore("own", 1, clock or ManualClock())


@pytest.mark.parametrize(
    ("merges", "expected"),
    [
        ([("own", OLD), ("own", NEW)], NEW),
        ([("own", NEW), ("own", OLD)], NEW),
        ([("own", OLD), ("peer", NEW)], NEW),
        ([("peer", NEW), ("own", OLD)], NEW),
        ([("own", record(incarnation=2, sequence=1)), ("own", NEW)],
         record(incarnation=2, sequence=1)),
        # At equal order the live record wins: the node has connected to
        # another instance.
        ([("own", gone(NEW)), ("peer", NEW)], NEW),
        ([("peer", NEW), ("own", gone(NEW))], NEW),
        # A tombstone replaces the record of the same reporter.
        ([("own", NEW), ("own", gone(NEW))], gone(NEW)),
        ([("own", NEW), ("peer", gone(record(sequence=3)))],
         gone(record(sequence=3))),
    ],
)  # fmt: skip
def test_latest_record_is_visible(merges, expected):
    store = store_of()
    for via, each in merges:
        store.merge([each], via)
    change = store.changes_since("", 0)
    assert change.records == (() if expected.is_gone else (expected,))
    assert store.changes_since(store.source, 1).records in ((), (expected,))


def test_merge_returns_what_the_reporter_changed():
    store = store_of()
    assert store.merge([NEW, OTHER], "own") == (NEW, OTHER)
    assert store.merge([NEW, OLD], "own") == ()
    assert store.merge([NEW], "peer") == (NEW,)
    # The other instances need the tombstones although the node is live
    # at the peer.
    assert store.end_lease("node") == (gone(NEW), gone(OTHER))
    assert states(store.records) == {"a": "up"}
    assert store.own_records() == (gone(NEW), gone(OTHER))
    assert store.end_lease("node") == ()


def test_moved_node_is_removed_everywhere_when_its_new_lease_ends():
    """End the leases at two instances in turn.

    A third instance receives the tombstones.  It must keep the record
    after the first lease ends and drop it after the second.
    """
    third = store_of()
    for control in ("one", "two"):
        third.merge([NEW], control)
    for control, expected in (("one", ["a"]), ("two", [])):
        at_control = EndpointStore(control, 1, ManualClock())
        at_control.merge([NEW], control)
        third.merge(at_control.end_lease("node"), control)
        assert [each.name for each in third.records] == expected


def test_new_incarnation_removes_records_of_the_old_one():
    store = store_of()
    fresh = record("b", incarnation=2, sequence=1)
    store.merge([NEW, fresh, record("a", node="other")], "own")
    assert store.admit_node("node", 2) == (gone(NEW),)
    assert states(store.records) == {"a": "up", "b": "up"}


def test_unreachable_instance_is_suspended_and_later_resumed():
    clock = ManualClock()
    store = store_of(clock)
    store.merge([NEW], "peer")
    store.note_lost("peer")
    clock.advance(UNREACHABLE_GRACE_SECONDS - 1)
    store.note_lost("peer")
    store.expire()
    assert store.records == (NEW,)
    clock.advance(1)
    store.expire()
    assert store.records == ()
    store.note_lost("peer")
    clock.advance(10 * TOMBSTONE_SECONDS)
    store.expire()
    store.merge((), "peer")
    assert store.records == (NEW,)


def test_full_list_removes_unlisted_records():
    store = store_of()
    store.merge([NEW, OTHER], "peer")
    store.merge([OTHER], "third")
    store.replace_all([record("c")], "peer")
    assert states(store.records) == {"b": "up", "c": "up"}


def test_net_change_needs_a_version_of_the_same_source():
    clock = ManualClock()
    store = store_of(clock)
    store.merge([OLD, OTHER], "own")
    version = store.version
    store.merge([NEW], "own")
    store.merge([gone(record(sequence=3))], "own")
    net = store.changes_since(store.source, version)
    assert (net.is_full, net.base_version, net.version) == (False, 2, 4)
    assert net.records == (gone(record(sequence=3)),)
    assert store.changes_since(store.source, version) is net
    for source, base in (("other/1", 2), (store.source, 9), ("", 0)):
        full = store.changes_since(source, base)
        assert (full.is_full, full.records) == (True, (OTHER,))
    clock.advance(TOMBSTONE_SECONDS)
    store.expire()
    assert store.changes_since(store.source, version).is_full
    assert not store.changes_since(store.source, 4).is_full


def test_load_alone_is_not_urgent():
    store = store_of()
    store.merge([OLD], "own")
    store.merge([load(NEW, 80)], "own")
    assert (store.version, store.urgent_version) == (2, 1)
    store.merge([replace(load(record(sequence=3), 80), slots=3)], "own")
    assert (store.version, store.urgent_version) == (3, 3)


def change_of(store, table):
    return store.changes_since(table.source, table.version)


def test_table_follows_a_store():
    clock = ManualClock()
    store, table = store_of(clock), EndpointTable(clock)
    store.merge([OLD, OTHER], "own")
    assert len(table.apply(change_of(store, table)).unwrap()) == 2
    store.merge([NEW], "own")
    change = change_of(store, table)
    assert table.apply(change).unwrap() == (NEW,)
    assert table.apply(change).unwrap() == ()
    store.merge([gone(record(sequence=3))], "own")
    table.apply(change_of(store, table)).unwrap()
    assert table.records == (OTHER,)
    assert (table.source, table.version) == (store.source, store.version)


@pytest.mark.parametrize(
    "changes",
    [{"source": "x/1"}, {"base_version": 9}, {"version": 0}],
)
def test_inapplicable_change_changes_nothing(changes):
    clock = ManualClock()
    store, table = store_of(clock), EndpointTable(clock)
    store.merge([OLD], "own")
    table.apply(change_of(store, table)).unwrap()
    store.merge([NEW], "own")
    change = replace(change_of(store, table), **changes)
    assert table.apply(change).unwrap_err() == NeedsEndpoints("own/1", 1)
    assert (table.records, table.version) == ((OLD,), 1)


def test_late_full_change_of_the_same_source_changes_nothing():
    """A delayed full table must not remove records added since."""
    clock = ManualClock()
    store, table = store_of(clock), EndpointTable(clock)
    store.merge([OLD], "own")
    late = change_of(store, table)
    assert late.is_full
    table.apply(late).unwrap()
    store.merge([OTHER], "own")
    table.apply(change_of(store, table)).unwrap()
    assert table.apply(late).unwrap() == ()
    assert set(table.records) == {OLD, OTHER}
    assert table.version == store.version


def test_full_change_of_another_source_than_the_connected_is_refused():
    """A late full table of another source must not delete records."""
    clock = ManualClock()
    store, table = store_of(clock), EndpointTable(clock)
    store.merge([OLD], "own")
    other = EndpointStore("two", 1, clock).changes_since("", 0)
    table.expect(store.source)
    table.apply(change_of(store, table)).unwrap()
    assert table.apply(other).unwrap_err() == NeedsEndpoints("own/1", 1)
    assert table.records == (OLD,)
    table.expect(other.source)
    assert table.apply(other).is_ok()


def test_change_of_source_does_not_restore_a_removed_endpoint():
    """The new source may not have received the withdrawal yet."""
    clock = ManualClock()
    first, second = store_of(clock), EndpointStore("two", 1, clock)
    table = EndpointTable(clock)
    first.merge([gone(NEW), OTHER], "own")
    table.apply(first.changes_since("", 0)).unwrap()
    first.merge([NEW], "own")
    table.apply(change_of(first, table)).unwrap()
    first.merge([gone(record(sequence=3))], "own")
    table.apply(change_of(first, table)).unwrap()
    # The second source has not received the withdrawal yet.
    second.merge([NEW], "two")
    table.apply(change_of(second, table)).unwrap()
    assert table.records == ()
    second.merge([record(sequence=4), OTHER], "two")
    table.apply(change_of(second, table)).unwrap()
    assert states(table.records) == {"a": "up", "b": "up"}


def test_table_purges_old_tombstones():
    clock = ManualClock()
    store, table = store_of(clock), EndpointTable(clock)
    store.merge([OLD, OTHER], "own")
    table.apply(change_of(store, table)).unwrap()
    for name in ("a", "b"):
        store.merge([gone(record(name, sequence=5))], "own")
        table.apply(change_of(store, table)).unwrap()
        clock.advance(TOMBSTONE_SECONDS / 2)
    table.purge()
    assert set(table._records) == {("node", "b")}
    store.merge([record("b", sequence=6)], "own")
    table.apply(change_of(store, table)).unwrap()
    clock.advance(TOMBSTONE_SECONDS)
    table.purge()
    assert states(table.records) == {"b": "up"}


def test_pacer_bounds_the_rate_of_messages():
    clock = ManualClock()
    pacer = EndpointPacer(clock, coalescing_seconds=5, load_seconds=20)
    assert pacer.next_due() is None
    taken = []
    for step in range(1, 101):
        each = load(record(sequence=step), step % 100)
        pacer.add([each if step != 41 else replace(each, slots=1)])
        taken.append(len(pacer.take()))
        clock.advance(1)
    # At once, then every 20 s, and once 5 s after the previous message
    # for the changed slots.
    assert [step for step, count in enumerate(taken) if count] == [
        *(0, 20, 40, 41 + 4, 65, 85)
    ]


def test_pacer_keeps_the_latest_of_each_endpoint():
    clock = ManualClock()
    pacer = EndpointPacer(clock, 0.5, 2.0)
    pacer.add([OLD])
    assert pacer.take() == (OLD,)
    pacer.add([NEW, OTHER])
    pacer.add([gone(record(sequence=3))])
    assert pacer.take() == ()
    clock.advance(0.5)
    assert pacer.take() == (gone(record(sequence=3)), OTHER)
    pacer.add([record(sequence=4)])
    assert pacer.next_due() == clock.monotonic() + 0.5

"""Merging of known control instances and its use by the chooser."""

import random

import pytest

from rhubarbhollow_distribution.change_reason import ChangeReason
from rhubarbhollow_distribution.control_address import ControlAddress
from rhubarbhollow_distribution.control_directory import (
    MAX_CONTROLS,
    ControlDirectory,
)
from rhubarbhollow_distribution.source_choice import SourceChooser
from rhubarbhollow_wire.clock import ManualClock


def address(name, data_centre=""):
    return ControlAddress(name, data_centre, name, 7380)


def test_watchers_are_notified_of_changes_only():
    directory = ControlDirectory([address("c1")])
    notified = []
    directory.watch(lambda: notified.append(directory.names))
    assert directory.merge([address("c1"), address("c2", "east")])
    assert not directory.merge([address("c2", "east")])
    assert notified == [frozenset({"c1", "c2"})]


def test_a_seed_does_not_clear_a_known_data_centre():
    directory = ControlDirectory([address("c1")])
    assert directory.merge([address("c1", "west")])
    assert not directory.merge([address("c1")])
    assert directory.addresses == (address("c1", "west"),)


def test_number_of_known_control_instances_is_bounded():
    directory = ControlDirectory()
    directory.merge(address(f"c{n}") for n in range(2 * MAX_CONTROLS))
    assert len(directory.names) == MAX_CONTROLS


@pytest.mark.parametrize("seed", range(5))
def test_a_node_finds_its_own_data_centre_from_any_seed(seed):
    clock = ManualClock()
    chooser = SourceChooser(
        "west",
        (address("c1"), address("c2")),
        clock,
        random.Random(seed),
        return_seconds=2.0,
    )
    first = chooser.next_attempt()
    chooser.note_connected(first.address)
    chooser.learn([address("c1", "east"), address("c2", "east")])
    chooser.learn([address("c3", "west")])
    clock.advance(2.0)
    other = chooser.maybe_alternative()
    assert other.reason is ChangeReason.PREFERS_LOCAL
    assert other.address.name == "c3"


@pytest.mark.parametrize("seed", range(5))
def test_retry_delay_after_a_long_outage_is_bounded(seed):
    clock = ManualClock()
    chooser = SourceChooser(
        "west",
        (address("c1"), address("c2")),
        clock,
        random.Random(seed),
        backoff_cap_seconds=0.5,
    )
    for _ in range(50):
        attempt = chooser.next_attempt()
        assert attempt.delay_seconds <= 0.5
        clock.advance(attempt.delay_seconds)
        chooser.note_failed(attempt.address)


def test_conflicting_addresses_are_not_exchanged_forever():
    """Merge two directories that know different addresses of one name.

    If each adopted the other's address, every merge would report a
    change and the exchange would not end.
    """
    first = ControlDirectory([ControlAddress("c3", "west", "relay-1", 1)])
    second = ControlDirectory([ControlAddress("c3", "west", "relay-2", 2)])
    rounds = 0
    while first.merge(second.addresses) or second.merge(first.addresses):
        rounds += 1
        assert rounds < 5
    assert first.addresses[0].host == "relay-1"

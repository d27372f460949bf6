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


def test_news_are_told_once():
    directory = ControlDirectory([address("c1")])
    told = []
    directory.watch(lambda: told.append(directory.names))
    assert directory.merge([address("c1"), address("c2", "east")])
    assert not directory.merge([address("c2", "east")])
    assert told == [frozenset({"c1", "c2"})]


def test_a_seed_completes_nothing_and_takes_nothing_back():
    directory = ControlDirectory([address("c1")])
    assert directory.merge([address("c1", "west")])
    assert not directory.merge([address("c1")])
    assert directory.addresses == (address("c1", "west"),)


def test_a_wrong_list_adds_a_bounded_number():
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
def test_the_pause_after_a_long_outage_is_bounded(seed):
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


def test_two_that_were_told_different_addresses_do_not_go_on_about_it():
    first = ControlDirectory([ControlAddress("c3", "west", "relay-1", 1)])
    second = ControlDirectory([ControlAddress("c3", "west", "relay-2", 2)])
    rounds = 0
    while first.merge(second.addresses) or second.merge(first.addresses):
        rounds += 1
        assert rounds < 5
    assert first.addresses[0].host == "relay-1"

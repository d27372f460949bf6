"""Choice, backoff and replacement of a node's control instance."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from rhubarbhollow_distribution.change_reason import ChangeReason
from rhubarbhollow_distribution.control_address import ControlAddress
from rhubarbhollow_distribution.control_heartbeat import ControlHeartbeat
from rhubarbhollow_distribution.source_candidate import SUSPECT_CAP_SECONDS
from rhubarbhollow_distribution.source_choice import (
    BACKOFF_BASE_SECONDS,
    BACKOFF_CAP_SECONDS,
    BEHIND_SECONDS,
    NOT_FRESH_SECONDS,
    RETURN_SECONDS,
    SILENCE_SECONDS,
    SourceChooser,
)
from rhubarbhollow_wire.clock import ManualClock

LOCAL_1, LOCAL_2, FAR_1, FAR_2 = CONTROLS = tuple(
    ControlAddress(name, data_centre, "127.0.0.1", 7000 + number)
    for number, (name, data_centre) in enumerate(
        [
            *(("local-1", "ilala"), ("local-2", "ilala")),
            *(("far-1", "temeke"), ("far-2", "kinondoni")),
        ]
    )
)


def chooser_of(clock, controls=CONTROLS, seed=1):
    return SourceChooser("ilala", controls, clock, random.Random(seed))


def beat(chooser, latest=5, *, is_fresh=True):
    chooser.note_heartbeat(ControlHeartbeat(is_fresh, latest, latest))


def pass_time(clock, chooser, seconds, latest=5, *, is_fresh=True):
    """Let time pass with a heartbeat every second."""
    for _ in range(int(seconds)):
        clock.advance(1)
        beat(chooser, latest, is_fresh=is_fresh)


def alternative_of(chooser):
    attempt = chooser.maybe_alternative()
    return (attempt.address.name, attempt.reason) if attempt else None


def test_local_instances_come_first_and_are_spread():
    firsts = Counter(
        chooser_of(ManualClock(), seed=seed).next_attempt().address.name
        for seed in range(200)
    )
    assert set(firsts) == {"local-1", "local-2"}
    assert min(firsts.values()) > 70


def test_every_instance_is_tried_with_increasing_jittered_delay():
    clock = ManualClock()
    chooser = chooser_of(clock)
    order, delays = [], []
    for _ in range(40):
        attempt = chooser.next_attempt()
        order.append(attempt.address.name)
        delays.append(attempt.delay_seconds)
        clock.advance(attempt.delay_seconds)
        chooser.note_failed(attempt.address)
    assert {"local-1", "local-2"} == set(order[:2])
    assert {"far-1", "far-2"} < set(order[:8])
    assert max(delays[:3]) < 1
    assert max(delays) <= BACKOFF_CAP_SECONDS
    assert len(set(delays)) == len(delays)
    assert min(Counter(order).values()) >= 5


def test_simultaneous_reconnects_are_spread_out():
    clock = ManualClock()
    delays = []
    for seed in range(300):
        chooser = chooser_of(clock, controls=(LOCAL_1,), seed=seed)
        chooser.note_connected(LOCAL_1)
        chooser.note_lost()
        for _ in range(6):
            chooser.note_failed(LOCAL_1)
        delays.append(chooser.next_attempt().delay_seconds)
    tenths = Counter(int(delay / BACKOFF_CAP_SECONDS * 10) for delay in delays)
    assert max(tenths.values()) < 100


def test_redirect_delays_the_return_to_that_instance():
    clock = ManualClock()
    chooser = chooser_of(clock, controls=(LOCAL_1, FAR_1))
    chooser.note_failed(LOCAL_1, retry_after_seconds=60)
    for _ in range(10):
        attempt = chooser.next_attempt()
        assert attempt.address == FAR_1
        chooser.note_failed(FAR_1)
        clock.advance(attempt.delay_seconds)
    only = chooser_of(clock, controls=(LOCAL_1,))
    only.note_failed(LOCAL_1, retry_after_seconds=60)
    assert only.next_attempt().delay_seconds >= 60


@pytest.mark.parametrize(
    ("seconds", "latest", "observed", "is_fresh", "expected"),
    [
        (30, 5, 5, True, None),
        (NOT_FRESH_SECONDS, 5, 0, False, None),
        (NOT_FRESH_SECONDS + 1, 5, 0, False, ChangeReason.NOT_FRESH),
        (BEHIND_SECONDS, 5, 6, True, ChangeReason.BEHIND),
        (30, 6, 6, True, None),
    ],
)
def test_reason_to_replace_the_source(
    seconds, latest, observed, is_fresh, expected
):
    clock = ManualClock()
    chooser = chooser_of(clock)
    chooser.note_connected(LOCAL_1)
    beat(chooser, 5)
    chooser.note_observed(observed)
    pass_time(clock, chooser, seconds, latest, is_fresh=is_fresh)
    attempt = chooser.maybe_alternative()
    assert (attempt.reason if attempt else None) == expected
    if attempt:
        assert attempt.address == LOCAL_2
        assert chooser.maybe_alternative() is None


def test_silence_counts_from_the_last_message():
    clock = ManualClock()
    chooser = chooser_of(clock)
    chooser.note_connected(LOCAL_1)
    clock.advance(SILENCE_SECONDS - 1)
    chooser.note_message()
    clock.advance(SILENCE_SECONDS - 1)
    assert not chooser.is_silent
    clock.advance(1)
    assert chooser.is_silent
    assert alternative_of(chooser) == ("local-2", ChangeReason.SILENT)
    chooser.note_lost()
    assert chooser.current is None
    assert not chooser.is_silent


def test_isolated_data_centre_keeps_its_source():
    """Fail every attempt to reach another data centre.

    The local source is not fresh, but the node must stay connected to
    it.
    """
    clock = ManualClock()
    chooser = chooser_of(clock, controls=(LOCAL_1, FAR_1, FAR_2))
    chooser.note_connected(LOCAL_1)
    attempts = 0
    for _ in range(600):
        pass_time(clock, chooser, 1, is_fresh=False)
        attempt = chooser.maybe_alternative()
        if attempt is not None:
            attempts += 1
            chooser.note_failed(attempt.address)
    assert chooser.current == LOCAL_1
    assert 600 / BACKOFF_CAP_SECONDS < attempts < 300


def test_node_does_not_flap_when_no_instance_is_fresh():
    clock = ManualClock()
    chooser = chooser_of(clock)
    chooser.note_connected(LOCAL_1)
    changes = 0
    for _ in range(3600):
        pass_time(clock, chooser, 1, is_fresh=False)
        attempt = chooser.maybe_alternative()
        if attempt is not None:
            changes += 1
            chooser.note_connected(attempt.address)
    # Each of the four instances is replaced about once per doubling of
    # its suspicion time, and later once per maximum suspicion time.
    assert 4 <= changes <= 4 * (5 + 3600 / SUSPECT_CAP_SECONDS)
    assert len(chooser.explain().suspects) >= 3


def test_node_returns_to_its_data_centre_after_the_return_time():
    clock = ManualClock()
    chooser = chooser_of(clock, controls=(LOCAL_1, FAR_1))
    chooser.note_connected(LOCAL_1)
    chooser.note_lost()
    chooser.note_connected(FAR_1)
    pass_time(clock, chooser, RETURN_SECONDS - 1)
    assert alternative_of(chooser) is None
    pass_time(clock, chooser, 1)
    assert alternative_of(chooser) == ("local-1", ChangeReason.PREFERS_LOCAL)
    assert chooser.explain().dissatisfaction == "prefers_local"
    chooser.note_connected(LOCAL_1)
    assert chooser.explain().suspects == ()
    pass_time(clock, chooser, 10 * RETURN_SECONDS)
    assert alternative_of(chooser) is None


def test_a_local_instance_that_is_not_fresh_is_left_at_once():
    """Check that a return to an isolated instance costs no staleness.

    It reports right after its welcome that it is not fresh; waiting for
    it as for an established source would delay releases.
    """
    clock = ManualClock()
    chooser = chooser_of(clock, controls=(LOCAL_1, FAR_1))
    chooser.note_connected(FAR_1)
    pass_time(clock, chooser, RETURN_SECONDS)
    assert alternative_of(chooser) == ("local-1", ChangeReason.PREFERS_LOCAL)
    chooser.note_connected(LOCAL_1)
    beat(chooser, is_fresh=False)
    assert alternative_of(chooser) == ("far-1", ChangeReason.NOT_FRESH)
    chooser.note_connected(FAR_1)
    assert chooser.explain().suspects == ("local-1",)


def test_a_cut_off_data_centre_with_two_instances_costs_one_wait():
    """Guard against nodes that miss releases in a data centre cut off.

    The wait began anew with each local instance, and with a short
    return time the first was no longer suspected when it ended.
    """
    clock = ManualClock()
    chooser = SourceChooser(
        "ilala", CONTROLS, clock, random.Random(1), return_seconds=2.0
    )
    chooser.note_connected(LOCAL_1)
    beat(chooser, is_fresh=False)
    clock.advance(NOT_FRESH_SECONDS)
    assert alternative_of(chooser) == ("local-2", ChangeReason.NOT_FRESH)
    chooser.note_connected(LOCAL_2)
    beat(chooser, is_fresh=False)
    name, reason = alternative_of(chooser)
    assert name.startswith("far-")
    assert reason is ChangeReason.NOT_FRESH


def test_a_remote_instance_that_is_not_fresh_costs_no_further_change():
    """Without a leader anywhere, leaving it at once gains nothing."""
    clock = ManualClock()
    chooser = chooser_of(clock, controls=(LOCAL_1, FAR_1, FAR_2))
    chooser.note_connected(LOCAL_1)
    beat(chooser, is_fresh=False)
    clock.advance(NOT_FRESH_SECONDS)
    attempt = chooser.maybe_alternative()
    chooser.note_connected(attempt.address)
    beat(chooser, is_fresh=False)
    assert alternative_of(chooser) is None


@pytest.mark.parametrize("is_known", [False, True])
def test_a_local_instance_that_becomes_known_is_tried_soon(is_known):
    """Guard against releases that cross data centres after a start.

    A seed list names no data centres, or none of the own one.
    """
    clock = ManualClock()
    seed = replace(LOCAL_1, data_centre="")
    controls = (FAR_1, seed) if is_known else (FAR_1,)
    chooser = chooser_of(clock, controls=controls)
    chooser.note_connected(FAR_1)
    pass_time(clock, chooser, 1)
    assert alternative_of(chooser) is None
    chooser.learn(CONTROLS)
    clock.advance(BACKOFF_BASE_SECONDS)
    name, reason = alternative_of(chooser)
    assert name.startswith("local-")
    assert reason is ChangeReason.PREFERS_LOCAL


def test_a_local_instance_is_not_on_trial_if_no_instance_was_fresh():
    """Before the first leader is elected, leaving it gains nothing."""
    clock = ManualClock()
    chooser = chooser_of(clock, controls=(FAR_1,))
    chooser.note_connected(FAR_1)
    beat(chooser, is_fresh=False)
    chooser.learn((LOCAL_1,))
    clock.advance(BACKOFF_BASE_SECONDS)
    assert alternative_of(chooser) == ("local-1", ChangeReason.PREFERS_LOCAL)
    chooser.note_connected(LOCAL_1)
    beat(chooser, is_fresh=False)
    assert alternative_of(chooser) is None


def test_a_local_instance_that_was_fresh_once_is_no_longer_on_trial():
    clock = ManualClock()
    chooser = chooser_of(clock, controls=(LOCAL_1, FAR_1))
    chooser.note_connected(FAR_1)
    pass_time(clock, chooser, RETURN_SECONDS)
    chooser.note_connected(LOCAL_1)
    beat(chooser)
    beat(chooser, is_fresh=False)
    assert alternative_of(chooser) is None
    pass_time(clock, chooser, NOT_FRESH_SECONDS + 1, is_fresh=False)
    assert alternative_of(chooser) == ("far-1", ChangeReason.NOT_FRESH)


def test_a_short_return_time_shortens_the_first_suspicion():
    """Guard against a node that stays remote long after a restart.

    With a return time of 2 s a local instance that was not fresh for a
    moment was avoided for 30 s, and all its traffic crossed data
    centres.
    """
    clock = ManualClock()
    chooser = SourceChooser(
        "ilala", (LOCAL_1, FAR_1), clock, random.Random(1), return_seconds=2.0
    )
    chooser.note_connected(LOCAL_1)
    pass_time(clock, chooser, NOT_FRESH_SECONDS + 1, is_fresh=False)
    attempt = chooser.maybe_alternative()
    chooser.note_connected(attempt.address)
    pass_time(clock, chooser, 3)
    assert alternative_of(chooser) == ("local-1", ChangeReason.PREFERS_LOCAL)


def test_chooser_without_addresses_is_a_programming_error():
    with pytest.raises(ValueError, match="control instance"):
        chooser_of(ManualClock(), controls=())


def test_a_release_is_confirmed_only_by_a_fresh_source():
    clock = ManualClock()
    chooser = chooser_of(clock)
    chooser.note_connected(LOCAL_1)
    assert not chooser.is_confirmed(5)
    beat(chooser)
    assert chooser.is_confirmed(5)
    clock.advance(SILENCE_SECONDS)
    assert not chooser.is_confirmed(5)
    # A source that sends changes all the time sends no heartbeat.
    chooser.note_message()
    assert chooser.is_confirmed(5)
    chooser.note_observed(6)
    assert not chooser.is_confirmed(5)
    assert chooser.is_confirmed(6)


def test_a_node_that_is_cut_off_is_soon_no_longer_sure():
    """Guard against valid keys that a node that is behind denies.

    A release may be activated elsewhere one staging deadline after the
    last message from the source, here 2 s.
    """
    clock = ManualClock()
    chooser = chooser_of(clock)
    chooser.note_connected(LOCAL_1)
    assert not chooser.is_current(5)
    beat(chooser)
    # The next heartbeat comes after 1 s.
    clock.advance(1.1)
    assert chooser.is_current(5)
    clock.advance(0.2)
    assert not chooser.is_current(5)
    assert chooser.is_confirmed(5)
    chooser.note_message()
    assert chooser.is_current(5)
    chooser.note_observed(6)
    assert not chooser.is_current(5)


def test_a_source_that_is_not_fresh_confirms_nothing():
    chooser = chooser_of(ManualClock())
    chooser.note_connected(LOCAL_1)
    beat(chooser)
    # What was queued before the report confirms nothing after it.
    chooser.note_message()
    beat(chooser, is_fresh=False)
    chooser.note_message()
    assert not chooser.is_confirmed(5)
    beat(chooser)
    assert chooser.is_confirmed(5)


def test_a_change_of_the_source_forgets_no_accepted_release():
    chooser = chooser_of(ManualClock())
    chooser.note_connected(LOCAL_1)
    beat(chooser, latest=6)
    chooser.note_connected(FAR_1)
    chooser.note_message()
    assert not chooser.is_confirmed(5)

"""Start positions of nodes without a release in force."""

from __future__ import annotations

import pytest
from small_releases import view_at

from rhubarbhollow_distribution.invariant import InvariantViolation
from rhubarbhollow_distribution.start_floor import StartFloor
from rhubarbhollow_distribution.start_rule import (
    ISOLATION_WAIT_SECONDS,
    StartRule,
)

HELLO_AT = 100.0
LATER = HELLO_AT + ISOLATION_WAIT_SECONDS
CONFIRMED = {"is_fresh": True, "confirmed_at": HELLO_AT + 0.001}
BEFORE = {"is_fresh": True, "confirmed_at": HELLO_AT}
ISOLATED = {"is_fresh": False, "confirmed_at": HELLO_AT - 50}
NEVER_FRESH = {"is_fresh": False, "confirmed_at": None}


@pytest.mark.parametrize("is_own", [True, False])
@pytest.mark.parametrize(
    ("latest", "active", "state", "expected"),
    [
        (9, 9, CONFIRMED, 9),
        (9, 8, CONFIRMED, None),
        (9, 9, BEFORE, None),
        (0, 0, CONFIRMED, None),
        (1, 0, CONFIRMED, None),
    ],
)
def test_fresh_instance_starts_at_once(
    is_own, latest, active, state, expected
):
    rule = StartRule(is_own_data_centre=is_own, hello_at=HELLO_AT)
    ledger = view_at(latest, active, **state)
    assert rule.maybe_start(ledger, HELLO_AT) == expected


def test_later_releases_do_not_delay_a_start():
    """Only releases accepted before the hello must be in force."""
    rule = StartRule(is_own_data_centre=False, hello_at=HELLO_AT)
    starts = [
        rule.maybe_start(view_at(latest, active, **CONFIRMED), HELLO_AT)
        for latest, active in ((9, 8), (10, 8), (11, 9))
    ]
    assert starts == [None, None, 9]


@pytest.mark.parametrize("state", [ISOLATED, NEVER_FRESH, BEFORE])
@pytest.mark.parametrize(
    ("is_own", "now", "latest", "floor", "expected"),
    [
        (True, LATER, 9, 9, 9),
        (True, LATER, 9, 8, 8),
        (True, LATER - 0.001, 9, 9, None),
        (True, LATER, 8, 9, None),
        (True, LATER, 0, 0, None),
        (False, LATER, 9, 9, None),
    ],
)
def test_isolated_instance_starts_local_nodes_at_the_floor(
    state, is_own, now, latest, floor, expected
):
    rule = StartRule(is_own_data_centre=is_own, hello_at=HELLO_AT)
    ledger = view_at(latest, 7, recorded_floor=floor, **state)
    assert rule.maybe_start(ledger, now) == expected


def test_floor_rises_only_once_it_is_synced():
    floor = StartFloor(recorded=3)
    assert floor.pending is None
    floor.require(5)
    floor.require(4)
    assert (floor.pending, floor.recorded) == (5, 3)
    assert [floor.may_offer(position) for position in (3, 4)] == [True, False]
    floor.require(6)
    floor.confirm(5)
    assert (floor.pending, floor.recorded) == (6, 5)
    floor.confirm(4)
    assert floor.recorded == 5
    with pytest.raises(InvariantViolation):
        floor.confirm(7)

"""Guards the steps of a rollout, whatever evidence and leaders."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from rhubarbhollow_rollout.command import (
    SetExposure,
    StartRollout,
    decode_rollout_command,
    encode_rollout_command,
)
from rhubarbhollow_rollout.ledger import RolloutLedger
from rhubarbhollow_rollout.messages import RolloutEvidence
from rhubarbhollow_rollout.planner import RolloutPlanner
from rhubarbhollow_rollout.record import RolloutState
from rhubarbhollow_rollout.schedule import SHARES_PERMILLE, Schedule

ROUNDING = 1e-6
_COUNT = st.integers(0, 200)
_EVENTS = st.lists(
    st.one_of(
        st.tuples(
            st.just("evidence"), st.lists(_COUNT, min_size=8, max_size=8)
        ),
        st.tuples(st.just("leader"), st.just([])),
        st.tuples(
            st.just("wait"),
            st.lists(st.integers(1, 30), min_size=1, max_size=1),
        ),
    ),
    max_size=60,
)


def add(total: list[int], counts: list[int]) -> list[int]:
    """Add counts of which the bad ones are at most the calls."""
    added = list(counts)
    for first in (0, 4):
        bad = sum(added[first + 1 : first + 4])
        added[first] += bad
    return [one + other for one, other in zip(total, added, strict=True)]


@given(_EVENTS, st.floats(0.5, 120.0))
def test_a_rollout_ends_in_time_and_within_its_shares(
    events: list[tuple[str, list[int]]], duration: float
) -> None:
    ledger = RolloutLedger()
    ledger.apply(StartRollout("s", "v2", round(duration * 1000), 0))
    schedule = Schedule(ledger.records["s"].duration_ms / 1000)
    planner = RolloutPlanner(ledger.records["s"], 0.0, 0.0)
    totals = [0] * 8
    now = 0.0

    def step() -> None:
        record = ledger.records["s"]
        if not record.is_running:
            return
        command = planner.plan(record, now)
        if command is None:
            return
        encoded = encode_rollout_command(command)
        assert decode_rollout_command(encoded) == Ok(command)
        if isinstance(command, SetExposure) and now < schedule.hands_over_at:
            assert command.share_permille in SHARES_PERMILLE
            before = (0, *SHARES_PERMILLE).index(record.share_permille)
            after = (0, *SHARES_PERMILLE).index(command.share_permille)
            assert after <= before + 1
        ledger.apply(command)
        if ledger.records["s"].state is RolloutState.COMPLETED:
            assert record.share_permille == 1000
            assert now >= schedule.completes_at

    for kind, values in events:
        if kind == "evidence":
            totals = add(totals, values)
            planner.observe("c1", 1, (RolloutEvidence(1, "r", *totals),))
        elif kind == "leader":
            planner = RolloutPlanner(ledger.records["s"], now, now)
            planner.observe("c1", 1, (RolloutEvidence(1, "r", *totals),))
        else:
            now += duration * values[0] / 100
        step()
    while now < duration + 1:
        now += 0.1
        step()
    assert not ledger.records["s"].is_running


@given(st.floats(0.05, 86_400.0))
def test_the_order_of_the_steps_of_any_duration(duration: float) -> None:
    schedule = Schedule(duration)
    assert 0 < schedule.hands_over_at < schedule.completes_at < duration
    # The differences are rounded.
    assert duration - schedule.completes_at <= 3.0 + ROUNDING
    assert schedule.completes_at - schedule.hands_over_at <= 1.2 + ROUNDING

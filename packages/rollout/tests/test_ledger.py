"""Guards against orders that are lost, doubled or answered twice."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from rhubarbhollow_rollout.command import (
    ConcludeRollout,
    RolloutCommand,
    SetExposure,
    StartRollout,
    decode_rollout_command,
    encode_rollout_command,
    is_rollout_command,
)
from rhubarbhollow_rollout.ledger import RolloutLedger
from rhubarbhollow_rollout.outcome import (
    RolloutChanged,
    RolloutInProgress,
    RolloutKnown,
    RolloutNotRunning,
    RolloutStarted,
)
from rhubarbhollow_rollout.record import RolloutState

_TEXT = st.sampled_from(["a", "b", "v1", "v2"])
_NUMBER = st.integers(1, 5)
_COMMANDS = st.one_of(
    st.builds(
        StartRollout, _TEXT, _TEXT, st.integers(1, 2), st.integers(0, 9)
    ),
    st.builds(
        SetExposure, _TEXT, _NUMBER, st.integers(0, 1000), _NUMBER, _NUMBER
    ),
    st.builds(
        ConcludeRollout,
        _TEXT,
        _NUMBER,
        st.sampled_from([RolloutState.COMPLETED, RolloutState.ROLLED_BACK]),
        _NUMBER,
    ),
)


@given(st.lists(_COMMANDS, max_size=30), st.integers(0, 30))
def test_a_snapshot_at_any_time_changes_nothing(
    commands: list[RolloutCommand], at: int
) -> None:
    """Replicas that compact at other times must not differ."""
    whole, restored = RolloutLedger(), RolloutLedger()
    for index, command in enumerate(commands):
        if index == at:
            restored = RolloutLedger.restore(restored.snapshot())
        decoded = decode_rollout_command(encode_rollout_command(command))
        assert decoded == Ok(command)
        assert whole.apply(command) == restored.apply(command)
    assert whole.snapshot() == restored.snapshot()


@given(st.lists(_COMMANDS, max_size=30))
def test_an_outcome_is_final(commands: list[RolloutCommand]) -> None:
    ledger = RolloutLedger()
    outcomes: dict[int, RolloutState] = {}
    revision = 0
    for command in commands:
        ledger.apply(command)
        assert ledger.revision >= revision
        revision = ledger.revision
        for record in ledger.records.values():
            if record.number in outcomes:
                assert outcomes[record.number] is record.state
            if not record.is_running:
                outcomes[record.number] = record.state


def order(version: str = "v2", duration: int = 10) -> StartRollout:
    return StartRollout("frame", version, duration, 0)


def test_the_same_order_gets_the_same_answer() -> None:
    """An operator whose answer was lost sends the order again."""
    ledger = RolloutLedger()
    assert isinstance(ledger.apply(order()), RolloutStarted)
    assert isinstance(ledger.apply(order()), RolloutKnown)
    assert isinstance(ledger.apply(order("v3")), RolloutInProgress)
    ledger.apply(ConcludeRollout("frame", 1, RolloutState.ROLLED_BACK, 5))
    assert isinstance(ledger.apply(order()), RolloutKnown)
    assert ledger.records["frame"].state is RolloutState.ROLLED_BACK
    assert isinstance(ledger.apply(order("v3")), RolloutStarted)


def test_the_version_in_force_is_remembered() -> None:
    ledger = RolloutLedger()
    ledger.apply(order())
    ledger.apply(ConcludeRollout("frame", 1, RolloutState.COMPLETED, 5))
    assert isinstance(ledger.apply(order(duration=20)), RolloutKnown)
    ledger.apply(order("v3"))
    assert ledger.records["frame"].stable_version == "v2"
    ledger.apply(ConcludeRollout("frame", 2, RolloutState.ROLLED_BACK, 5))
    assert ledger.records["frame"].stable_version == "v2"


def test_late_commands_of_an_earlier_rollout_change_nothing() -> None:
    """An old leader's verdict may arrive after the next order."""
    ledger = RolloutLedger()
    ledger.apply(order())
    done = ConcludeRollout("frame", 1, RolloutState.COMPLETED, 5)
    assert isinstance(ledger.apply(done), RolloutChanged)
    ledger.apply(order("v3"))
    assert isinstance(ledger.apply(done), RolloutNotRunning)
    exposure = SetExposure("frame", 1, 90, 1, 5)
    assert isinstance(ledger.apply(exposure), RolloutNotRunning)
    assert ledger.records["frame"].is_running


def test_bytes_that_are_no_command_are_refused() -> None:
    good = encode_rollout_command(order())
    assert is_rollout_command(good)
    for bad in (
        b"R",
        b"R[]",
        b'R{"kind":"start"}',
        b'R{"kind":["start"]}',
        good.replace(b'"duration_ms":10', b'"duration_ms":0'),
        good.replace(b'"duration_ms":10', b'"duration_ms":true'),
        good.replace(b'"v2"', b'""'),
        good.replace(b'"v2"', b'"v\\u0000"'),
    ):
        assert isinstance(decode_rollout_command(bad), Err), bad

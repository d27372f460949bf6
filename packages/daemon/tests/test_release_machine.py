"""Guards against rollouts that a snapshot or a restart loses."""

from __future__ import annotations

import pytest

from rhubarbhollow_daemon.release_machine import (
    ReleaseMachine,
    UnreadableSnapshotError,
)
from rhubarbhollow_distribution.departure import Departure
from rhubarbhollow_distribution.departure_command import (
    DepartureCommandFault,
    RecordDepartures,
    encode_departure_command,
)
from rhubarbhollow_distribution.departure_ledger import DeparturesRecorded
from rhubarbhollow_release.ledger import ReleaseLedger
from rhubarbhollow_rollout.command import (
    ConcludeRollout,
    RolloutCommandFault,
    SetExposure,
    StartRollout,
    encode_rollout_command,
)
from rhubarbhollow_rollout.outcome import RolloutKnown, RolloutStarted
from rhubarbhollow_rollout.record import RolloutState

MESH = "m"
ORDER = encode_rollout_command(StartRollout("frame", "v2", 10_000, 5))


def test_rollouts_survive_a_snapshot() -> None:
    machine = ReleaseMachine(MESH, {})
    assert isinstance(machine.apply(1, ORDER), RolloutStarted)
    exposure = SetExposure("frame", 1, 30, 0, 100)
    machine.apply(2, encode_rollout_command(exposure))
    restored = ReleaseMachine(MESH, {})
    restored.restore(machine.snapshot())
    assert restored.rollouts.records == machine.rollouts.records
    assert restored.snapshot() == machine.snapshot()
    assert isinstance(restored.apply(3, ORDER), RolloutKnown)
    end = ConcludeRollout("frame", 1, RolloutState.ROLLED_BACK, 200)
    restored.apply(4, encode_rollout_command(end))
    assert not restored.rollouts.running


@pytest.mark.parametrize("has_rollouts", [False, True])
def test_departures_survive_a_snapshot(has_rollouts: bool) -> None:
    """Guard against a withdrawal that a compacted log forgets."""
    gone = Departure("a", 5, 7, is_withdrawn=True, noted_at_ms=9)
    command = encode_departure_command(RecordDepartures("n1", (gone,)))
    machine = ReleaseMachine(MESH, {})
    if has_rollouts:
        machine.apply(1, ORDER)
    assert machine.apply(2, command) == DeparturesRecorded("n1")
    restored = ReleaseMachine(MESH, {})
    restored.restore(machine.snapshot())
    assert restored.departures.of("n1") == (gone,)
    assert restored.rollouts.records == machine.rollouts.records
    assert restored.snapshot() == machine.snapshot()
    assert isinstance(machine.apply(3, b"Dx"), DepartureCommandFault)
    snapshot = machine.snapshot()
    for at in range(12, len(snapshot)):
        with pytest.raises(UnreadableSnapshotError):
            restored.restore(snapshot[:at])


def test_snapshots_without_rollouts_are_as_before() -> None:
    """Earlier versions wrote the ledger's snapshot alone."""
    machine = ReleaseMachine(MESH, {})
    plain = ReleaseLedger(MESH, {}).snapshot()
    assert machine.snapshot() == plain
    machine.apply(1, ORDER)
    machine.restore(plain)
    assert not machine.rollouts.records


def test_a_damaged_snapshot_is_refused() -> None:
    machine = ReleaseMachine(MESH, {})
    machine.apply(1, ORDER)
    snapshot = machine.snapshot()
    for at in range(12, len(snapshot)):
        damaged = bytearray(snapshot)
        damaged[at] ^= 1
        with pytest.raises(UnreadableSnapshotError):
            machine.restore(bytes(damaged))
        with pytest.raises(UnreadableSnapshotError):
            machine.restore(snapshot[:at])
    assert machine.snapshot() == snapshot


def test_bytes_that_are_no_command_change_nothing() -> None:
    machine = ReleaseMachine(MESH, {})
    assert isinstance(machine.apply(1, b"Rx"), RolloutCommandFault)
    assert not machine.rollouts.revision

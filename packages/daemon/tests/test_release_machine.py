"""Guards against rollouts that a snapshot or a restart loses."""

from __future__ import annotations

import pytest

from rhubarbhollow_daemon.release_machine import (
    ReleaseMachine,
    UnreadableSnapshotError,
)
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

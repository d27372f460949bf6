"""Disruptions of a core of real processes, with fixed seeds."""

from __future__ import annotations

import pytest

from tests.processes.core_faults import CoreFaults


@pytest.mark.parametrize("seed", [1, 2])
def test_the_core_recovers_from_disruptions_in_a_row(tmp_path, seed):
    """Check that changes are acknowledged and read back after each."""
    CoreFaults(tmp_path, seed, node_count=0).run(rounds=4)


def test_the_configuration_comes_back_after_disks_refused_writes(tmp_path):
    """Guard against instances that answer 503 until they are restarted.

    Each disk refuses writes for some seconds, never two at once. After
    the second one no instance could read the configuration any more.
    """
    faults = CoreFaults(
        tmp_path, seed=1, node_count=2, kinds=("refuse_writes",)
    )
    faults.run(rounds=3)

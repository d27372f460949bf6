"""How a node that was built from settings judges its source."""

from random import Random

import pytest
import yaml

from rhubarbhollow_calls.io_position import PositionCheck
from rhubarbhollow_daemon.node_building import build_node
from rhubarbhollow_daemon.settings_file import load_settings
from rhubarbhollow_distribution.source_choice import BEHIND_SECONDS
from rhubarbhollow_wire.clock import ManualClock

DOCUMENT = {
    "mesh": "m",
    "instance": {"name": "n1", "data_centre": "ilala"},
    "listen": {
        "host": "127.0.0.1",
        "caller_port": 7100,
        "peer_port": 7101,
        "admin_port": 7102,
    },
    "approval_keys": [
        "1d53d17192bad4f90746dd96b9e0e9e2bc749c0d481dd815df1fb92589690151"
    ],
    "controls": [
        {"name": "c1", "data_centre": "ilala", "host": "127.0.0.1", "port": 1}
    ],
}


def connected_node(folder, clock, heartbeat_ms=1000):
    path = folder / "settings.yaml"
    distribution = {
        "heartbeat_ms": heartbeat_ms,
        "lease_ms": 4 * heartbeat_ms,
    }
    path.write_text(yaml.safe_dump(DOCUMENT | {"distribution": distribution}))
    settings = load_settings(path).unwrap()
    node = build_node(settings, 1, clock, Random(1))
    node.chooser.note_connected(settings.controls[0])
    return node


@pytest.mark.parametrize("heartbeat_ms", [500, 3000, 4000])
def test_a_missed_heartbeat_is_not_a_silent_source(tmp_path, heartbeat_ms):
    """Guard against leaving a source after one lost heartbeat.

    A long heartbeat interval can come close to the configured silence.
    """
    clock = ManualClock()
    node = connected_node(tmp_path, clock, heartbeat_ms)
    clock.advance(2 * heartbeat_ms / 1000)
    assert not node.chooser.is_silent
    clock.advance(3 + heartbeat_ms / 1000)
    assert node.chooser.is_silent


@pytest.mark.parametrize(
    ("is_hint", "dissatisfaction"), [(True, ""), (False, "behind")]
)
def test_only_positions_from_nodes_mark_the_source_as_behind(
    tmp_path, is_hint, dissatisfaction
):
    """Guard against a caller that makes a node change its source.

    A caller may send any position; one from a node can be trusted.
    """
    clock = ManualClock()
    node = connected_node(tmp_path, clock)
    check = node.state.observe_position(10**9, is_hint=is_hint)
    assert check is PositionCheck.BEHIND
    clock.advance(BEHIND_SECONDS)
    assert node.chooser.explain().dissatisfaction == dissatisfaction

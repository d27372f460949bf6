"""Reading, translating and watching the platform's settings file."""

import json
from datetime import timedelta
from pathlib import Path

import pytest
from result import Err, Ok

from rhubarbhollow_platform.boot_file import (
    decode_boot_file,
    find_boot_path,
    find_formation_fault,
    read_boot_file,
)
from rhubarbhollow_platform.seed_watch import SeedWatcher
from rhubarbhollow_platform.settings_translation import (
    translate_core,
    translate_sidecar,
)

SIDECAR = {
    "NodeName": "sidecar-a-1",
    "Ip": "10.1.0.38",
    "Zone": "a",
    "Zones": {"a": "r"},
    "ListenAddresses": {
        "Inbound": "10.1.0.38:8146",
        "Outbound": "10.1.0.38:8147",
        "Ready": "10.1.0.38:8141",
        "Control": "10.1.0.38:8144",
    },
    "InternalPortRange": [7380, 7395],
    "Seeds": ["10.1.0.42:8144", "10.2.0.43:8144"],
    "FirstStart": True,
    "DataDirectory": None,
    "HeartbeatIntervalS": 1.5,
    "Bounds": {"GracePeriodS": 6, "NewBoundS": 1},
    "ApplicationAddress": "10.1.0.38:8145",
    "Service": "desk",
    "New": "field",
}
CORE = {
    **SIDECAR,
    "Ip": "10.1.0.42",
    "ListenAddresses": {"Control": "10.1.0.42:8144"},
    "DataDirectory": "/data/core",
    "Service": None,
}


def decode(value):
    return decode_boot_file(json.dumps(value).encode())


def test_a_sidecar_gets_its_ports_and_a_drain_within_the_grace_period():
    settings = translate_sidecar(decode(SIDECAR).ok_value)
    assert settings.instance.name == "10.1.0.38"
    assert settings.instance.data_centre == "a"
    assert settings.listen.caller_port == 8147
    assert settings.listen.peer_port == 8146
    assert settings.control is None
    assert settings.calls.origin == "desk"
    assert [one.port for one in settings.controls] == [7380, 7380]
    drain = settings.drain
    total = drain.hold + drain.spread + drain.budget
    assert total.total_seconds() < 6
    # callers leave after two readiness probes, one second apart
    assert drain.hold.total_seconds() > 2


def test_no_call_is_taken_that_may_not_be_cut_at_the_end():
    """Guard against calls that the platform counts as lost."""
    drain = translate_sidecar(decode(SIDECAR).ok_value).drain
    taken_until = drain.hold + drain.spread
    assert taken_until.total_seconds() < 3
    # A call may be cut in the last sixth of 6 s.
    assert 5 < (taken_until + drain.budget).total_seconds() < 5.75


@pytest.mark.parametrize("is_first", [True, False])
def test_only_a_first_start_may_initialize_a_log(is_first):
    """A restart with an empty disk must not start a second log."""
    boot = decode({**CORE, "FirstStart": is_first}).ok_value
    control = translate_core(boot, Path("data")).control
    assert control.may_form is is_first
    members = ("10.1.0.42", "10.2.0.43") if is_first else ()
    assert control.members == members


@pytest.mark.parametrize("grace_seconds", [6, 10])
def test_a_stopping_voter_has_time_to_hand_its_vote_over(grace_seconds):
    """Guard against a process that is killed before its vote moved."""
    bounds = {**CORE["Bounds"], "GracePeriodS": grace_seconds}
    boot = decode({**CORE, "Bounds": bounds}).ok_value
    control = translate_core(boot, Path("data")).control
    # An election and two changes, each found at the next heartbeat.
    needed = 2 * control.election_timeout + 4 * control.heartbeat
    assert needed <= control.handover < timedelta(seconds=grace_seconds / 2)


@pytest.mark.parametrize("catch_up_seconds", [4, 6])
def test_a_silent_voter_is_replaced_before_the_next_loss(catch_up_seconds):
    bounds = {**CORE["Bounds"], "CatchUpS": catch_up_seconds}
    boot = decode({**CORE, "Bounds": bounds}).ok_value
    control = translate_core(boot, Path("data")).control
    # The silent instance may have led, and another leader may end too.
    elections = 2 * 2 * control.election_timeout
    assert control.repair_after >= control.election_timeout
    wait = control.repair_after + elections
    assert wait.total_seconds() < catch_up_seconds


def test_a_core_machine_lists_itself_with_its_data_centre():
    """A control instance is listed even if the seeds leave it out."""
    boot = decode({**CORE, "Seeds": ["10.2.0.43:8144"]}).ok_value
    controls = translate_core(boot, Path("data")).controls
    assert {(one.name, one.data_centre) for one in controls} == {
        ("10.1.0.42", "a"),
        ("10.2.0.43", ""),
    }


@pytest.mark.parametrize(
    "changes",
    [
        {"Seeds": []},
        {"Seeds": ["nowhere"]},
        {"Seeds": None},
        {"Ip": 5},
        {"InternalPortRange": [1]},
        {"ListenAddresses": {"Control": "x"}},
        {"ListenAddresses": {"Control": "10.1.0.38:65536"}},
        {"ListenAddresses": {"Control": "10.1.0.38:0"}},
        {"InternalPortRange": [7380, 10**400]},
        {"HeartbeatIntervalS": 1e300},
        {"HeartbeatIntervalS": 0},
        {"Bounds": {"GracePeriodS": 1e300}},
        {"Seeds": ["10.1.0.42:65536", "\u00e9:8144", 5]},
    ],
)
def test_unusable_settings_are_refused_with_a_reason(changes):
    fault = decode({**SIDECAR, **changes})
    assert isinstance(fault, Err)
    assert fault.err_value.detail


@pytest.mark.parametrize("key", ["New", "Seeds", "Bounds"])
def test_deeply_nested_settings_are_refused_with_a_reason(key):
    """Deep nesting must not raise in a process that reads the file."""
    nested = "[" * 100_000 + "]" * 100_000
    text = json.dumps(SIDECAR)[:-1] + f', "{key}": {nested}}}'
    fault = decode_boot_file(text.encode())
    assert isinstance(fault, Err)
    assert fault.err_value.detail


@pytest.mark.parametrize(
    "odd",
    [
        *("", "nowhere", ":8144", "10.1.0.9:0", "10.1.0.9:65536"),
        *(f"10.1.0.9:{10**400}", "\u00e9" * 70 + ":8144", "\0:8144"),
        *(5, None, True, {}, [[]], "10.1.0.9:-1", "a b:8144"),
    ],
)
def test_an_odd_seed_leaves_the_good_ones_in_use(odd):
    boot = decode({**SIDECAR, "Seeds": [odd, "10.3.0.9:8144"]}).ok_value
    assert boot.seed_hosts == ("10.3.0.9",)
    controls = translate_sidecar(boot).controls
    assert [one.host for one in controls] == ["10.3.0.9"]


@pytest.mark.parametrize(
    ("changes", "is_fault"),
    [
        ({}, True),
        ({"FirstStart": False}, False),
        ({"DataDirectory": None}, False),
        ({"Seeds": ["10.1.0.42:8144"]}, False),
    ],
)
def test_a_log_is_not_formed_without_an_odd_seed(changes, is_fault):
    """Members that read different seeds must not form two logs."""
    odd = {"Seeds": ["10.1.0.42:8144", "nowhere"]}
    boot = decode({**CORE, **odd, **changes}).ok_value
    assert (find_formation_fault(boot) is not None) is is_fault


def test_a_missing_file_or_variable_is_a_fault(tmp_path):
    assert isinstance(find_boot_path({}), Err)
    assert isinstance(read_boot_file(tmp_path / "none"), Err)


def test_changed_seeds_are_passed_on_once(tmp_path):
    """An unreadable or deleted file must not change the seeds."""
    path = tmp_path / "local.json"
    path.write_text(json.dumps(SIDECAR))
    passed = []
    watcher = SeedWatcher(path, passed.extend)
    watcher.poll()
    assert not passed
    path.write_text(json.dumps({**SIDECAR, "Seeds": ["10.3.0.9:8144"]}))
    watcher.poll()
    watcher.poll()
    assert [one.host for one in passed] == ["10.3.0.9"]
    path.write_text("{")
    watcher.poll()
    path.unlink()
    watcher.poll()
    assert len(passed) == 1
    assert isinstance(find_boot_path({"RHUBARBHOLLOW_BOOT": "x"}), Ok)

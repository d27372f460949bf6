"""Loading and validation of settings files, and the examples."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path

import pytest
import yaml
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
)
from result import Err, Ok

from rhubarbhollow_daemon.settings_file import (
    MAX_SETTINGS_BYTES,
    load_settings,
)
from rhubarbhollow_release.keys import store_public_key
from rhubarbhollow_release.parsing import parse_manifest

EXAMPLES = Path(__file__).parents[3] / "examples"
KEY = Ed25519PrivateKey.from_private_bytes(bytes(32)).public_key()
HEX_KEY = KEY.public_bytes_raw().hex()

PLAIN = f"""
mesh: mesh
instance: {{name: node-1, data_centre: ilala}}
listen: {{host: 127.0.0.1, caller_port: 1, peer_port: 2, admin_port: 3}}
approval_keys: [{HEX_KEY}]
controls:
  - {{name: control-1, data_centre: ilala, host: 127.0.0.1, port: 4}}
  - {{name: control-2, data_centre: temeke, host: 127.0.0.1, port: 5}}
"""
CONTROL = (
    PLAIN.replace("node-1", "control-1").replace(
        "admin_port: 3", "admin_port: 3, control_port: 4"
    )
    + "control: {data_folder: data, members: [control-1, control-2]}\n"
)


def load(folder: Path, text: str | bytes):
    path = folder / "settings.yaml"
    path.write_bytes(text.encode() if isinstance(text, str) else text)
    return load_settings(path)


def faults_of(folder: Path, text: str | bytes) -> set[tuple[str, str]]:
    loaded = load(folder, text)
    assert isinstance(loaded, Err), loaded
    faults = loaded.err_value.faults
    assert list(faults) == sorted(set(faults))
    return {(fault.path, str(fault.kind)) for fault in faults}


def test_plain_node_gets_the_defaults(tmp_path: Path) -> None:
    """Guard against changed defaults or a newly required section."""
    settings = load(tmp_path, PLAIN).unwrap()
    assert settings.control is None
    assert settings.advertise_host == "127.0.0.1"
    assert settings.distribution.coalescing == timedelta(milliseconds=20)
    assert [key.public_bytes_raw() for key in settings.trusted.values()] == [
        KEY.public_bytes_raw()
    ]


def test_control_section_is_read_with_units(tmp_path: Path) -> None:
    """Guard against wrong units or paths not relative to the file."""
    text = CONTROL.replace(
        "data_folder: data", "data_folder: data, repair_after_seconds: 2.5"
    )
    control = load(tmp_path, text).unwrap().control
    assert control is not None
    assert control.data_folder == tmp_path / "data"
    assert control.members == ("control-1", "control-2")
    assert control.repair_after == timedelta(seconds=2.5)


def test_key_file_is_found_beside_the_settings(tmp_path: Path) -> None:
    """Guard against key files resolved against the working folder."""
    (tmp_path / "legal.pem").write_bytes(store_public_key(KEY))
    by_file = load(tmp_path, PLAIN.replace(HEX_KEY, "legal.pem")).unwrap()
    by_hex = load(tmp_path, PLAIN).unwrap()
    assert by_file.trusted.keys() == by_hex.trusted.keys()


def test_all_schema_faults_are_reported_together(tmp_path: Path) -> None:
    """Guard against reporting only the first fault of a file."""
    text = (
        PLAIN.replace("caller_port: 1", "caller_port: 0, speed: 9")
        .replace("peer_port: 2", "peer_port: two, peer_port: 2")
        .replace("name: node-1, ", "")
        .replace("port: 5", "port: 70000, zone: x")
        + "mesh: mesh\nlogs: {level: loud}\ndrain: {spread_ms: soon}\nx: 1\n"
    )
    assert faults_of(tmp_path, text) == {
        ("/controls/1/port", "out_of_range"),
        ("/controls/1/zone", "unknown_key"),
        ("/drain/spread_ms", "wrong_type"),
        ("/instance/name", "missing_key"),
        ("/listen/caller_port", "out_of_range"),
        ("/listen/peer_port", "duplicate_key"),
        ("/listen/speed", "unknown_key"),
        ("/logs/level", "bad_value"),
        ("/mesh", "duplicate_key"),
        ("/x", "unknown_key"),
    }


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", {("", "wrong_type")}),
        ("- 1", {("", "wrong_type")}),
        ("{}", {(f"/{key}", "missing_key") for key in yaml.safe_load(PLAIN)}),
        ("a: [", {("", "syntax")}),
        ("{[1]: 2}", {("", "syntax")}),
        ("a: 2026-99-99", {("", "syntax")}),
        ("[" * 1200, {("", "syntax")}),
        ("a: &x [1]\nb: *x", {("", "alias")}),
        (b"\xff", {("", "unreadable")}),
        (b" " * (MAX_SETTINGS_BYTES + 1), {("", "unreadable")}),
        (
            PLAIN.replace("mesh: mesh", "mesh: Big_Mesh"),
            {("/mesh", "bad_value")},
        ),
        (PLAIN.replace("mesh: mesh", "mesh: 7"), {("/mesh", "wrong_type")}),
        (
            PLAIN.replace("port: 4", "port: true"),
            {("/controls/0/port", "wrong_type")},
        ),
        (
            PLAIN.replace("host: 127.0.0.1, caller", "host: there, caller"),
            {("/listen/host", "bad_value")},
        ),
        (
            PLAIN.replace("host: 127.0.0.1, caller", "host: 0.0.0.0, caller"),
            {("/advertise_host", "contradiction")},
        ),
        (
            PLAIN.replace(HEX_KEY, "absent.pem, settings.yaml"),
            {
                ("/approval_keys/0", "bad_key_file"),
                ("/approval_keys/1", "bad_key_file"),
            },
        ),
        (
            PLAIN.replace(HEX_KEY, f"{HEX_KEY}, {HEX_KEY}"),
            {("/approval_keys", "duplicate")},
        ),
        (
            PLAIN.replace("peer_port: 2", "peer_port: 1"),
            {
                ("/listen/caller_port", "duplicate"),
                ("/listen/peer_port", "duplicate"),
            },
        ),
        (
            PLAIN.replace("control-2", "control-1").replace(
                "port: 5", "port: 4"
            ),
            {
                ("/controls/0/name", "duplicate"),
                ("/controls/1/name", "duplicate"),
                ("/controls/0/port", "duplicate"),
                ("/controls/1/port", "duplicate"),
            },
        ),
        (
            PLAIN.replace("node-1", "control-1").replace(
                "admin_port: 3", "admin_port: 3, control_port: 4"
            ),
            {
                ("/control", "contradiction"),
                ("/listen/control_port", "contradiction"),
            },
        ),
        (
            CONTROL.replace(", control_port: 4", "").replace(
                "ilala}\nlisten", "temeke}\nlisten"
            ),
            {
                ("/instance/data_centre", "contradiction"),
                ("/listen/control_port", "missing_key"),
            },
        ),
        (
            CONTROL.replace("control_port: 4", "control_port: 9")
            + "advertise_host: 127.0.0.2\n",
            {
                ("/advertise_host", "contradiction"),
                ("/listen/control_port", "contradiction"),
            },
        ),
        (
            CONTROL.replace("name: control-1", "name: control-9", 1),
            {("/controls", "contradiction")},
        ),
        (
            CONTROL.replace(
                "control-2]",
                "control-3], election_timeout_ms: 299, heartbeat_ms: 100",
            )
            + "distribution: {heartbeat_ms: 1000, lease_ms: 2999}\n",
            {
                ("/control/election_timeout_ms", "contradiction"),
                ("/control/members/1", "contradiction"),
                ("/distribution/lease_ms", "contradiction"),
            },
        ),
    ],
)
def test_invalid_settings_yield_their_faults(
    tmp_path: Path, text: str | bytes, expected: set
) -> None:
    """Guard against invalid files that load or get the wrong fault."""
    assert faults_of(tmp_path, text) == expected


def test_missing_file_is_unreadable(tmp_path: Path) -> None:
    """Guard against an exception for a file that does not exist."""
    loaded = load_settings(tmp_path / "absent.yaml")
    assert loaded.unwrap_err().faults[0].kind == "unreadable"


@pytest.mark.parametrize(
    ("name", "is_control", "longest_window_ms"),
    [
        ("authority-control", True, 20),
        ("authority-node", False, 20),
        ("cooperative-control", True, 1000),
        ("cooperative-node", False, 1000),
    ],
)
def test_examples_are_valid(
    name: str,
    is_control: bool,
    longest_window_ms: int,
) -> None:
    """Guard against example settings that no longer load."""
    settings = load_settings(EXAMPLES / f"{name}.yaml").unwrap()
    assert (settings.control is not None) is is_control
    window = settings.distribution.coalescing
    assert window <= timedelta(milliseconds=longest_window_ms)


@pytest.mark.parametrize(
    ("name", "services"),
    [
        ("authority", {"counter-desk", "test-bench"}),
        ("cooperative", {"socios", "tesoreria"}),
    ],
)
def test_example_manifests_match_the_example_settings(
    name: str,
    services: set[str],
) -> None:
    """Guard against example manifests that do not fit the settings."""
    document = (EXAMPLES / f"{name}-manifest.yaml").read_bytes()
    manifest = parse_manifest(document)
    settings = load_settings(EXAMPLES / f"{name}-node.yaml").unwrap()
    assert isinstance(manifest, Ok)
    assert manifest.ok_value.mesh == settings.mesh
    assert {each.name for each in manifest.ok_value.services} == services

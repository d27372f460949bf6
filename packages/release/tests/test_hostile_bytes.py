"""Untrusted input: decoders neither raise nor accept invalid bytes."""

import hashlib
import json
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from rhubarbhollow_release.approval_codec import (
    decode_approval,
    encode_approval,
)
from rhubarbhollow_release.command import decode_command, encode_command
from rhubarbhollow_release.difference_codec import (
    decode_difference,
    encode_difference,
)
from rhubarbhollow_release.parsing import parse_manifest
from rhubarbhollow_release.snapshot import (
    SnapshotFaultKind,
    decode_state,
    encode_state,
)

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.sampled_from(["a", "*", "/", "bulk", "format", "\ud800", "\x00"]),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                [
                    "name",
                    "services",
                    "routes",
                    "host",
                    "depends_on",
                    "~/",
                    "\ud800",
                ]
            ),
            children,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@given(JSON_VALUES)
def test_any_json_is_parsed_or_refused(value):
    document = {"format": 1, "mesh": "lab", "version": 1, "services": value}
    for each in (value, document, {**document, "routes": value}):
        data = json.dumps(each).encode()
        parsed = parse_manifest(data)
        assert parsed.is_ok() or parsed.err_value.faults


@given(st.text(alphabet="ab:-[]{},#&*!|>'\"? \n\t%@~1.", max_size=40))
def test_any_yaml_is_parsed_or_refused(text):
    assert parse_manifest(text.encode()).is_err()


@given(st.binary(max_size=200), st.sampled_from([b"", b"S", b"A"]))
def test_any_bytes_are_decoded_or_refused(data, tag):
    for decode, encode in (
        (decode_command, encode_command),
        (decode_approval, encode_approval),
        (decode_difference, encode_difference),
    ):
        decoded = decode(tag + data)
        if isinstance(decoded, Ok):
            again = decode(encode(decoded.ok_value))
            assert again == decoded


PREAMBLE = {
    "format": 1,
    "mesh": "lab",
    "active_position": 0,
    "forgotten_version": 0,
    "records": 0,
}


def pack_snapshot(plain):
    packed = zlib.compress(plain)
    return hashlib.sha256(packed).digest() + packed


@pytest.mark.parametrize(
    ("changes", "rest"),
    [
        ({"format": 2}, b""),
        ({"mesh": 1}, b""),
        ({"records": "1"}, b""),
        ({"records": 1}, b""),
        ({"records": -1}, b""),
        ({"active_position": 1}, b""),
        ({"active_position": -1}, b""),
        ({"forgotten_version": -1}, b""),
        ({}, b"x"),
        ({}, bytes(14)),
        ({"records": 1}, bytes(64)),
        ({"records": 1}, bytes(7) + b"\x01" + bytes(7) + b"\x01" + bytes(48)),
    ],
    ids=repr,
)
def test_rejects_inconsistent_snapshots(changes, rest):
    """Guard against restoring a snapshot with contradictory content.

    Its checksum is right, so only checks of the content detect it.
    """
    good = pack_snapshot(json.dumps(PREAMBLE).encode() + b"\n")
    state = decode_state(good).unwrap()
    assert decode_state(encode_state(state)).unwrap() == state
    line = json.dumps({**PREAMBLE, **changes}).encode()
    decoded = decode_state(pack_snapshot(line + b"\n" + rest))
    assert decoded.err_value.kind in {
        SnapshotFaultKind.MALFORMED,
        SnapshotFaultKind.OTHER_FORMAT,
    }


@pytest.mark.parametrize("plain", [b"", b"{", b"[]\n", b"[" * 100_000])
def test_rejects_a_snapshot_without_a_preamble(plain):
    decoded = decode_state(pack_snapshot(plain))
    assert decoded.err_value.kind is SnapshotFaultKind.MALFORMED

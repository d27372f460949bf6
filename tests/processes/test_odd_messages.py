"""Odd entries among good ones, on the ports of a running mesh."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import socket
import threading
import urllib.error
import urllib.request

import pytest
from tools.local_mesh import HOST, call, get_json

from rhubarbhollow_daemon.codec import CODEC
from rhubarbhollow_distribution.endpoint_record import EndpointRecord
from rhubarbhollow_distribution.endpoint_report import EndpointReport
from rhubarbhollow_distribution.hello import Hello
from rhubarbhollow_distribution.node_heartbeat import NodeHeartbeat
from rhubarbhollow_wire.connection import PREFACE
from tests.processes.fleet import Fleet
from tests.processes.message_fuzz import encode_frame
from tests.processes.operator import MESH

HEARTBEAT_SECONDS = 0.3
CALLS = 40


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path) as running:
        running.submit(1)
        running.wait_position(1)
        yield running
        running.mesh.check_alive()
        running.assert_positions_monotonic()


ODD_ANNOUNCEMENTS = {
    "nested": '{"name": ' + "[" * 100_000 + "]" * 100_000 + "}",
    **{
        f"nested {depth}": '{"port": ' + "[" * depth + "]" * depth + "}"
        for depth in (200, 400, 600, 800, 900, 940, 960, 980)
    },
    "port": '{"port": 65536}',
    "port huge": '{"port": 1e308}',
    "lease not a number": '{"lease_seconds": NaN}',
    "lease infinite": '{"lease_seconds": Infinity}',
    "lease huge": f'{{"lease_seconds": {10**400}}}',
    "load not a number": '{"load": NaN}',
    "load huge": f'{{"load": {10**400}}}',
    "slots huge": '{"slots": 1e999}',
    "slots true": '{"slots": true}',
    "digits": f'{{"slots": {"9" * 5_000}}}',
    "surrogate": '{"service": "\\ud800"}',
    "surrogate key": '{"\\ud800": 1}',
    "scope": '{"host": "::1%\\r\\n"}',
    "long scope": '{"host": "::1%' + "x" * 80 + '"}',
    "zero byte": '{"host": "::1%\\u0000"}',
}


def post_announcement(node, body):
    """Send an announcement's bytes and return the status."""
    request = urllib.request.Request(
        f"{node.admin}/v1/announcements", body.encode(), method="POST"
    )
    try:
        with urllib.request.urlopen(request, timeout=5) as answer:
            return answer.status
    except urllib.error.HTTPError as error:
        return error.code


def test_an_odd_announcement_leaves_the_good_one_in_use(fleet):
    """Guard against an odd announcement that unlists a good one."""
    fleet.start_upstreams()
    node = fleet.nodes[0]
    good = {
        "name": f"bench-{node.name}",
        "service": "test-bench",
        "host": HOST,
        "port": 9,
        "slots": 9,
        "connections": 9,
        "lease_seconds": 3,
    }
    accepted = []
    for label, changes in ODD_ANNOUNCEMENTS.items():
        # The last of repeated keys counts.
        body = json.dumps(good)[:-1] + ", " + changes[1:]
        status = post_announcement(node, body)
        if status not in (400, 422):
            accepted.append((label, status))
        assert call(node, "/benches/1")[0] == 200, label
    assert not accepted


GOOD_RECORD = EndpointRecord(
    name="odd",
    service="test-bench",
    node="odd",
    data_centre="ilala",
    peer_host=HOST,
    peer_port=9,
    slots=9,
    state=1,
    load_percent=0,
    incarnation=1,
    sequence=1,
)
LARGEST = 1 << 62
ODD_RECORDS = {
    "port 0": {"peer_port": 0},
    "port below": {"peer_port": -1},
    "port above": {"peer_port": 65_536},
    "port largest": {"peer_port": (1 << 31) - 1},
    "no host": {"peer_host": ""},
    "empty label": {"peer_host": "a..b"},
    "long label": {"peer_host": "a" * 70},
    "host not ASCII": {"peer_host": "\u00e9" * 70},
    "host zero byte": {"peer_host": "\0"},
    "state": {"state": 99},
    "no slots": {"slots": 0},
    "slots below": {"slots": -(1 << 31)},
    "slots largest": {"slots": (1 << 31) - 1},
    "load": {"load_percent": (1 << 31) - 1},
    "name": {"name": "odd\r\nrhubarbhollow-upstream: x"},
    "long name": {"name": "x" * 100_000},
    "incarnation": {"incarnation": LARGEST, "sequence": LARGEST},
    "incarnation below": {"incarnation": -LARGEST},
    "another node": {
        "node": "ilala-0",
        "name": "bench-ilala-0",
        "incarnation": LARGEST,
    },
    "another node gone": {
        "node": "temeke-0",
        "name": "bench-temeke-0",
        "state": 3,
        "incarnation": LARGEST,
    },
}


class OddNode:
    """Report records to a control instance and stay connected."""

    def __init__(self, control, records):
        self._stopped = threading.Event()
        self._socket = socket.create_connection((HOST, control.ports.control))
        hello = Hello(MESH, "odd", "ilala", 1, 0, b"\0" * 32, 0, "", 0)
        self._socket.sendall(PREFACE)
        self._send(hello)
        self._send(EndpointReport(records))
        self._thread = threading.Thread(target=self._stay)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._stopped.set()
        self._thread.join()
        self._socket.close()

    def _send(self, message):
        self._socket.sendall(encode_frame(CODEC.encode(message)))

    def _stay(self):
        with contextlib.suppress(OSError):
            while not self._stopped.wait(HEARTBEAT_SECONDS):
                self._send(NodeHeartbeat(0, 0))


def assert_calls_pass(fleet):
    for node in fleet.nodes:
        statuses = [call(node, "/benches/1")[0] for _ in range(CALLS)]
        assert statuses == [200] * CALLS, node.name


def test_odd_endpoint_records_leave_the_good_ones_in_use(fleet):
    """Guard against one odd record that blinds all that read it."""
    fleet.start_upstreams()
    records = tuple(
        dataclasses.replace(GOOD_RECORD, **{"name": f"odd-{number}", **odd})
        for number, odd in enumerate(ODD_RECORDS.values())
    )
    with OddNode(fleet.controls[0], records):
        # One record alone is good: it shows that all have been read.
        shown = dataclasses.replace(GOOD_RECORD, service="other")
        with OddNode(fleet.controls[1], (shown,)):
            fleet.wait_upstreams(len(fleet.nodes) + 1)
            fleet.mesh.check_alive()
            assert_calls_pass(fleet)
    fleet.wait_upstreams(len(fleet.nodes))
    # A node of which an odd record told returns after a start.
    node = fleet["ilala-0"]
    fleet.mesh.kill(node)
    fleet.mesh.start(node)
    fleet.wait_position(1)
    fleet.wait_upstreams(len(fleet.nodes))
    assert_calls_pass(fleet)
    assert get_json(f"{node.admin}/v1/upstreams")

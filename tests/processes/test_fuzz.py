"""Malformed input on every port of running processes."""

from __future__ import annotations

import contextlib
import socket
from random import Random

import pytest
from tools.local_mesh import HOST, get_json

from tests.processes.fleet import Fleet
from tests.processes.message_fuzz import (
    MESSAGE_TYPES,
    control_stream,
    http_stream,
)
from tests.processes.operator import MESH

STREAMS_PER_PORT = 250
ANSWER_SECONDS = 0.02


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path) as running:
        yield running
        running.assert_positions_monotonic()


def send(port, data):
    """Send bytes, wait for an answer for a moment, and close."""
    with (
        contextlib.suppress(OSError),
        socket.create_connection((HOST, port), timeout=2) as connection,
    ):
        connection.sendall(data)
        connection.settimeout(ANSWER_SECONDS)
        connection.recv(65_536)


@pytest.mark.parametrize("seed", [1, 2])
def test_no_malformed_message_ends_a_process(fleet, seed):
    """Guard against a process that one message takes down.

    A thousand streams go to a control instance and a node: messages of
    every type with unlikely values, torn and altered ones, and requests
    that are no HTTP. Both go on serving.
    """
    assert len(MESSAGE_TYPES) < 3 * STREAMS_PER_PORT
    random = Random(seed)
    fleet.start_upstreams()
    fleet.submit(1)
    fleet.wait_position(1)
    follower = next(one for one in fleet.controls if one is not fleet.leader)
    node = fleet.nodes[0]
    for number in range(STREAMS_PER_PORT):
        send(follower.ports.control, control_stream(random, MESH, number))
        send(node.ports.caller, http_stream(random))
        send(node.ports.peer, http_stream(random))
        send(node.ports.admin, http_stream(random))
        fleet.mesh.check_alive()
    fleet.submit(2, via=follower)
    fleet.wait_position(2)
    assert get_json(f"{node.admin}/v1/status")["active_position"] == 2

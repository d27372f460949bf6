"""Calls while upstreams, nodes and control instances fail."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time
from random import Random

import pytest
from tools.call_watch import CallWatch
from tools.local_mesh import call, get_json

from tests.processes.fleet import Fleet

REFUSAL = "rhubarbhollow-refusal"
EXECUTED = "rhubarbhollow-executed"


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path) as running:
        running.submit(1)
        running.wait_position(1)
        yield running
        running.assert_no_node_went_back()


def order(node, key, body=b"one dispatch"):
    return call(
        node,
        "/orders",
        method="POST",
        body=body,
        headers={"Idempotency-Key": key},
        timeout_seconds=15.0,
    )


def test_an_order_with_a_key_runs_once_whoever_is_asked(fleet):
    fleet.start_upstreams()
    answers = [order(node, "k1") for node in fleet.nodes * 2]
    assert {status for status, _, _ in answers} == {200}
    assert len({body for _, _, body in answers}) == 1
    status, headers, _ = order(fleet.nodes[1], "k1", b"another dispatch")
    assert (status, headers[REFUSAL], headers[EXECUTED]) == (
        422,
        "key_conflict",
        "no",
    )


def test_orders_race_through_all_nodes(fleet):
    fleet.start_upstreams(service_ms=100)
    answers = []
    threads = [
        threading.Thread(
            target=lambda node=node: answers.append(order(node, "race"))
        )
        for node in fleet.nodes * 3
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    done = {body for status, _, body in answers if status == 200}
    assert len(done) == 1
    for status, headers, _ in answers:
        # a repeat of a running request may have run, and says so
        assert status == 200 or headers[EXECUTED] == "unknown"


def test_an_order_whose_upstream_crashed_is_not_run_again(fleet):
    upstreams = fleet.start_upstreams()
    status, headers, _ = order(fleet.nodes[0], "k2", b"CRASH")
    assert (status, headers[EXECUTED]) == (502, "unknown")
    for node in fleet.nodes:
        status, headers, _ = order(node, "k2", b"CRASH")
        assert headers[EXECUTED] == "unknown"
    crashed = [one for one in upstreams.values() if one.poll() is not None]
    assert len(crashed) == 1


def test_a_request_that_crashes_upstreams_is_stopped_after_two(fleet):
    upstreams = fleet.start_upstreams()
    refusals = []

    def is_quarantined():
        answers = [
            call(node, "/benches/7", method="PUT", body=b"CRASH")
            for node in fleet.nodes
        ]
        refusals.extend(headers.get(REFUSAL) for _, headers, _ in answers)
        return "quarantined" in refusals

    fleet.wait("the quarantine", is_quarantined)
    crashed = [one for one in upstreams.values() if one.poll() is not None]
    assert len(crashed) == 2
    # its neighbours go on at the upstream that is left
    fleet.wait(
        "the upstream that is left",
        lambda: call(fleet.nodes[0], "/benches/8")[0] == 200,
    )
    status, headers, _ = call(
        fleet.nodes[2], "/benches/7", method="PUT", body=b"CRASH"
    )
    assert (status, headers[REFUSAL]) == (403, "quarantined")
    assert sum(one.poll() is None for one in upstreams.values()) == 1


def test_one_upstream_that_comes_back_crashes_twice_at_most(fleet):
    node = fleet.nodes[0]
    for _ in range(2):
        upstream = fleet.start_upstream(node)
        fleet.wait(
            "the upstream",
            lambda: call(node, "/benches/8")[0] == 200,
        )
        call(node, "/benches/7", method="PUT", body=b"CRASH")
        assert upstream.wait(10) == 1
    upstream = fleet.start_upstream(node)
    fleet.wait("the upstream", lambda: call(node, "/benches/8")[0] == 200)
    status, headers, _ = call(node, "/benches/7", method="PUT", body=b"CRASH")
    assert (status, headers[REFUSAL]) == (403, "quarantined")
    assert upstream.poll() is None


def test_a_leaving_upstream_cuts_no_call_and_gets_nothing_new(fleet):
    upstreams = fleet.start_upstreams(service_ms=40)
    leaving = upstreams[fleet.nodes[0].name]
    with CallWatch(fleet.nodes * 3, "/benches/1") as watch:
        leaving.terminate()
        assert leaving.wait(20) == 0
        fleet.wait_upstreams(2)
    seen = watch.stop()
    assert seen.answered > 0
    assert (seen.refused, seen.broken) == (0, 0), seen


def test_nodes_go_on_while_every_control_instance_is_away(fleet):
    fleet.start_upstreams()
    for control in fleet.controls:
        fleet.mesh.kill(control)
    for node in fleet.nodes:
        assert call(node, "/benches/1")[0] == 200
    status, headers, _ = order(fleet.nodes[0], "k3")
    assert status in (503, 504)
    assert headers[EXECUTED] == "no"
    for control in fleet.controls:
        fleet.mesh.start(control)
    fleet.wait(
        "claims again",
        lambda: order(fleet.nodes[0], "k3")[0] == 200,
    )


def test_a_deep_chain_of_calls_comes_back_whole(fleet):
    fleet.submit(2, chain=True)
    fleet.wait_position(2)
    fleet.start_upstreams()
    status, headers, body = call(fleet.nodes[0], "/chain?levels=17")
    assert status == 200, headers
    assert json.loads(body)["path"] == "/chain?levels=0"
    status, headers, body = call(fleet.nodes[1], "/benches/large")
    assert status == 200


def test_a_burn_report_joins_all_nodes(fleet):
    fleet.start_upstreams()
    for node in fleet.nodes:
        for _ in range(5):
            assert call(node, "/benches/1")[0] == 200
    report = get_json(f"{fleet.controls[0].admin}/v1/burn", 5.0)
    (service,) = report["services"]
    assert service["windows"][0]["calls"] == 5 * len(fleet.nodes)


def test_strange_bytes_end_only_their_own_connection(fleet):
    random = Random(11)
    control = fleet.controls[0]
    attacks = [
        random.randbytes(2_000),
        b"RBH\x01\xff\xff\xff\xff",
        b"RBH\x01\x00\x00\x00\x05hello",
        b"GET / HTTP/1.1\r\n\r\n",
    ]
    ports = (control.ports.control, control.ports.caller, control.ports.peer)
    for port in ports:
        for attack in attacks:
            with socket.create_connection(("127.0.0.1", port), 5) as one:
                one.sendall(attack)
                one.shutdown(socket.SHUT_WR)
                one.settimeout(10)
                while _receive(one):
                    pass
    assert fleet.submit(2) == 2
    fleet.wait_position(2)
    assert control.process.poll() is None


def _receive(connection):
    try:
        return connection.recv(65_536)
    except ConnectionError:
        return b""


def test_a_second_signal_stops_at_once(fleet):
    node = fleet.nodes[0]
    fleet.start_upstreams(service_ms=1000)
    caller = threading.Thread(
        target=lambda: _ignore_errors(call, node, "/benches/1"), daemon=True
    )
    caller.start()
    node.process.terminate()
    time.sleep(0.1)
    node.process.terminate()
    assert node.process.wait(10) == 0


def _ignore_errors(function, *arguments):
    with contextlib.suppress(OSError):
        function(*arguments)


@pytest.mark.parametrize(
    "order",
    [
        ("node", "upstream", "control"),
        ("upstream", "control", "node"),
        ("control", "node", "upstream"),
    ],
)
def test_graceful_stops_in_any_order_cut_no_call(fleet, order):
    upstreams = fleet.start_upstreams(service_ms=30)
    leaving, *others = fleet.nodes
    stops = {
        "node": lambda: fleet.mesh.terminate(leaving),
        "upstream": lambda: _terminate(upstreams[leaving.name]),
        "control": lambda: fleet.mesh.terminate(fleet.leader),
    }
    with CallWatch(others * 3, "/benches/1") as watch:
        codes = [stops[name]() for name in order]
    seen = watch.stop()
    assert codes == [0, 0, 0]
    assert seen.answered > 0
    assert (seen.refused, seen.broken, seen.went_back) == (0, 0, 0), seen


def _terminate(process):
    process.terminate()
    return process.wait(20)

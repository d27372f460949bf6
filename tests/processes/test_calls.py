"""Calls while upstreams, nodes and control instances fail or stop."""

from __future__ import annotations

import contextlib
import json
import signal
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
        running.assert_positions_monotonic()


def post_order(node, key, body=b"one dispatch"):
    return call(
        node,
        "/orders",
        method="POST",
        body=body,
        headers={"Idempotency-Key": key},
        timeout_seconds=15.0,
    )


def test_a_keyed_order_runs_once_through_any_node(fleet):
    """Guard against a second run of an order that is repeated.

    The claim of a key is shared by all nodes: each node returns the
    stored answer, and refuses another body under the same key.
    """
    fleet.start_upstreams()
    answers = [post_order(node, "k1") for node in fleet.nodes * 2]
    assert {status for status, _, _ in answers} == {200}
    assert len({body for _, _, body in answers}) == 1
    status, headers, _ = post_order(fleet.nodes[1], "k1", b"another dispatch")
    assert (status, headers[REFUSAL], headers[EXECUTED]) == (
        422,
        "key_conflict",
        "no",
    )


def test_concurrent_orders_with_one_key_run_once(fleet):
    """Guard against a double run when nodes claim a key at once."""
    fleet.start_upstreams(service_ms=100)
    answers = []
    threads = [
        threading.Thread(
            target=lambda node=node: answers.append(post_order(node, "race"))
        )
        for node in fleet.nodes * 3
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    bodies = {body for status, _, body in answers if status == 200}
    assert len(bodies) == 1
    for status, headers, _ in answers:
        # A repeat of a request that still runs cannot know its outcome
        # and reports the execution as unknown.
        assert status == 200 or headers[EXECUTED] == "unknown"


def test_an_order_whose_upstream_crashed_is_not_run_again(fleet):
    """Guard against a retry of an order that may have been executed.

    The upstream crashes while it runs the order, so that its outcome
    stays unknown on every node.
    """
    upstreams = fleet.start_upstreams()
    status, headers, _ = post_order(fleet.nodes[0], "k2", b"CRASH")
    assert (status, headers[EXECUTED]) == (502, "unknown")
    for node in fleet.nodes:
        status, headers, _ = post_order(node, "k2", b"CRASH")
        assert headers[EXECUTED] == "unknown"
    crashed = [
        process for process in upstreams.values() if process.poll() is not None
    ]
    assert len(crashed) == 1


def test_a_request_that_crashes_upstreams_is_stopped_after_two(fleet):
    """Guard against a request that crashes one upstream after another.

    After two crashes its fingerprint is quarantined on all nodes, and
    other requests still reach the remaining upstream.
    """
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
    crashed = [
        process for process in upstreams.values() if process.poll() is not None
    ]
    assert len(crashed) == 2
    # Other requests are served by the remaining upstream.
    fleet.wait(
        "the remaining upstream",
        lambda: call(fleet.nodes[0], "/benches/8")[0] == 200,
    )
    status, headers, _ = call(
        fleet.nodes[2], "/benches/7", method="PUT", body=b"CRASH"
    )
    assert (status, headers[REFUSAL]) == (403, "quarantined")
    assert sum(process.poll() is None for process in upstreams.values()) == 1


def test_one_upstream_that_comes_back_crashes_twice_at_most(fleet):
    """Guard against crashes that go uncounted after a restart.

    Both crashes hit the same upstream, in two incarnations; they count
    as two, and the third incarnation does not get the request.
    """
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


def test_a_leaving_upstream_breaks_no_call_and_gets_no_new_one(fleet):
    """Guard against broken calls while an upstream drains.

    The upstream gets SIGTERM while calls run. It must finish its calls,
    and all nodes must choose the others without a refusal.
    """
    upstreams = fleet.start_upstreams(service_ms=40)
    leaving = upstreams[fleet.nodes[0].name]
    with CallWatch(fleet.nodes * 3, "/benches/1") as watch:
        leaving.terminate()
        assert leaving.wait(20) == 0
        fleet.wait_upstreams(2)
    counts = watch.stop()
    assert counts.answered > 0
    assert (counts.refused, counts.broken) == (0, 0), counts


def test_nodes_serve_calls_without_control_instances(fleet):
    """Guard against nodes that depend on a control instance for calls.

    Calls without a key are served meanwhile. Keyed orders need a claim:
    they are refused as not executed until control is back.
    """
    fleet.start_upstreams()
    for control in fleet.controls:
        fleet.mesh.kill(control)
    for node in fleet.nodes:
        assert call(node, "/benches/1")[0] == 200
    status, headers, _ = post_order(fleet.nodes[0], "k3")
    assert status in (503, 504)
    assert headers[EXECUTED] == "no"
    for control in fleet.controls:
        fleet.mesh.start(control)
    fleet.wait(
        "an order with a new claim",
        lambda: post_order(fleet.nodes[0], "k3")[0] == 200,
    )


def test_a_deep_call_chain_and_a_large_answer_complete(fleet):
    """Guard against truncated answers of deep or large calls."""
    fleet.submit(2, chain=True)
    fleet.wait_position(2)
    fleet.start_upstreams()
    status, headers, body = call(fleet.nodes[0], "/chain?levels=17")
    assert status == 200, headers
    assert json.loads(body)["path"] == "/chain?levels=0"
    status, headers, body = call(fleet.nodes[1], "/benches/large")
    assert status == 200


def test_the_burn_report_sums_all_nodes(fleet):
    """Guard against a burn report that leaves out some nodes."""
    fleet.start_upstreams()
    for node in fleet.nodes:
        for _ in range(5):
            assert call(node, "/benches/1")[0] == 200
    report = get_json(f"{fleet.controls[0].admin}/v1/burn", 5.0)
    (service,) = report["services"]
    assert service["windows"][0]["calls"] == 5 * len(fleet.nodes)


def test_malformed_bytes_close_only_their_connection(fleet):
    """Guard against malformed input that stops a control instance.

    Each port gets random bytes, frames with a false length and requests
    of another protocol; a release is then accepted and distributed.
    """
    random = Random(11)
    control = fleet.controls[0]
    inputs = [
        random.randbytes(2_000),
        b"RBH\x01\xff\xff\xff\xff",
        b"RBH\x01\x00\x00\x00\x05hello",
        b"GET / HTTP/1.1\r\n\r\n",
    ]
    ports = (control.ports.control, control.ports.caller, control.ports.peer)
    for port in ports:
        for data in inputs:
            with socket.create_connection(("127.0.0.1", port), 5) as peer:
                peer.sendall(data)
                peer.shutdown(socket.SHUT_WR)
                peer.settimeout(10)
                while _receive(peer):
                    pass
    assert fleet.submit(2) == 2
    fleet.wait_position(2)
    assert control.process.poll() is None


def _receive(connection):
    try:
        return connection.recv(65_536)
    except ConnectionError:
        return b""


def test_a_repeated_sigterm_cuts_no_call(fleet):
    """Guard against calls that a supervisor's second signal cuts."""
    node = fleet.nodes[0]
    fleet.start_upstreams(service_ms=1000)
    answers = []
    caller = threading.Thread(
        target=lambda: answers.append(call(node, "/benches/1")), daemon=True
    )
    caller.start()
    time.sleep(0.3)
    for _ in range(3):
        node.process.terminate()
        time.sleep(0.1)
    assert node.process.wait(10) == 0
    caller.join(5)
    assert [answer[0] for answer in answers] == [200]


def test_an_interrupt_skips_the_drain(fleet):
    """Guard against a node that cannot be stopped while it drains.

    A call of one second keeps the drain going; SIGINT after SIGTERM
    ends the node within the time limit and with exit code 0.
    """
    node = fleet.nodes[0]
    fleet.start_upstreams(service_ms=1000)
    caller = threading.Thread(
        target=lambda: _ignore_errors(call, node, "/benches/1"), daemon=True
    )
    caller.start()
    node.process.terminate()
    time.sleep(0.1)
    node.process.send_signal(signal.SIGINT)
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
def test_graceful_stops_in_any_order_break_no_call(fleet, order):
    """Guard against calls that break in one order of graceful stops.

    A node, its upstream and the leader stop one after the other while
    other nodes call.
    """
    upstreams = fleet.start_upstreams(service_ms=30)
    leaving, *others = fleet.nodes
    stops = {
        "node": lambda: fleet.mesh.terminate(leaving),
        "upstream": lambda: _terminate(upstreams[leaving.name]),
        "control": lambda: fleet.mesh.terminate(fleet.leader),
    }
    with CallWatch(others * 3, "/benches/1") as watch:
        codes = [stops[name]() for name in order]
    counts = watch.stop()
    assert codes == [0, 0, 0]
    assert counts.answered > 0
    assert (counts.refused, counts.broken, counts.position_regressions) == (
        0,
        0,
        0,
    ), counts


def _terminate(process):
    process.terminate()
    return process.wait(20)

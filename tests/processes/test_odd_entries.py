"""Odd entries among good ones, on the ports of the platform's roles."""

from __future__ import annotations

import asyncio
import json
import signal
import time

import pytest

from tests.processes.test_platform_roles import (
    CONTROL_PORT,
    NETWORK,
    Platform,
    Upstream,
    answer_with_target,
    build_document,
    put_configuration,
    readiness_status,
    send_call,
    send_request,
    wait_for_result,
)

CONTROL_HOSTS = (f"{NETWORK}.2.1", f"{NETWORK}.2.2", f"{NETWORK}.2.3")
NODE_HOSTS = (f"{NETWORK}.2.11", f"{NETWORK}.2.12")
HOSTS = (*CONTROL_HOSTS, *NODE_HOSTS)
BORN = 1_700_000_000_000
NESTED = "[" * 100_000 + "]" * 100_000
# Longer than a crash report takes to each process and back.
SPREAD_SECONDS = 3.0


def write_heartbeat(host, port, **changes):
    value = {
        "Service": "desk",
        "Address": f"{host}:{port}",
        "Zone": "east",
        "Slots": 9,
        "State": "ready",
        "Sequence": 1,
        "born": BORN,
        **changes,
    }
    return json.dumps(value)


def put_heartbeat(host, body, name="i-1"):
    """Send a heartbeat's bytes and return the status."""
    path = f"/rhubarbhollow/instances/{name}"
    return send_request("PUT", host, CONTROL_PORT, path, body.encode())[0]


@pytest.fixture
def platform(tmp_path):
    running = Platform(tmp_path, CONTROL_HOSTS)
    for host in HOSTS:
        running.start(host)
    try:
        first = build_document(2)
        wait_for_result(
            lambda: put_configuration(CONTROL_HOSTS[0], first, 0), 200
        )
        for host in NODE_HOSTS:
            wait_for_result(lambda host=host: readiness_status(host), 200)
        yield running
        for host in HOSTS:
            log = running.read_log(host)
            assert "Traceback" not in log, (host, log[-3000:])
            assert running.exit_status(host) is None, (host, log[-3000:])
    finally:
        running.stop()


def run_with_upstream(script, check):
    """Run a check in a thread beside a scripted upstream."""

    async def serve():
        upstream = Upstream(script)
        await upstream.start(NODE_HOSTS[0])
        await asyncio.to_thread(check, upstream)

    asyncio.run(serve())


ODD = {
    "nested": lambda host, port: (
        write_heartbeat(host, port)[:-1] + f', "x": {NESTED}}}'
    ),
    "port 0": lambda host, _: write_heartbeat(host, 0, Sequence=9),
    "port -1": lambda host, _: write_heartbeat(host, -1, Sequence=9),
    "port wraps": lambda host, port: write_heartbeat(
        host, port + 65_536, Sequence=9
    ),
    "port huge": lambda host, _: write_heartbeat(host, 10**400, Sequence=9),
    "born 64 bits": lambda host, port: write_heartbeat(
        host, port, born=1 << 62
    ),
    "born huge": lambda host, port: write_heartbeat(host, port, born=10**400),
    "born in microseconds": lambda host, port: write_heartbeat(
        host, port, born=BORN * 1_000
    ),
    "born negative": lambda host, port: write_heartbeat(
        host, port, born=-1, Sequence=9
    ),
    "sequence": lambda host, port: write_heartbeat(
        host, port, Sequence=10**30
    ),
    "slots": lambda host, port: write_heartbeat(
        host, port, Slots=10**30, Sequence=9
    ),
    "real": lambda host, port: write_heartbeat(host, port).replace(
        '"Slots": 9', '"Slots": 1e999'
    ),
}


def test_an_odd_heartbeat_leaves_the_good_one_in_use(platform):
    """Guard against an odd heartbeat that unlists a good target."""

    def check(upstream):
        host, port = NODE_HOSTS[0], upstream.port
        harmful = []
        for number, (label, write) in enumerate(ODD.items(), 1):
            good = write_heartbeat(host, port, Sequence=10 * number)
            assert put_heartbeat(host, good) == 200
            odd = write(host, port).replace(
                '"Sequence": 9', f'"Sequence": {10 * number + 9}'
            )
            statuses = [
                put_heartbeat(host, odd, name) for name in ("i-1", "i-2")
            ]
            answer = send_call(host)
            if statuses != [400, 400] or answer != (200, b"/a/x"):
                harmful.append((label, statuses, answer))
        assert not harmful
        wait_for_result(lambda: send_call(NODE_HOSTS[1]), (200, b"/a/x"))
        # Later heartbeats still count.
        draining = write_heartbeat(host, port, Sequence=900, State="draining")
        assert put_heartbeat(host, draining) == 200
        assert send_call(host)[0] == 503

    run_with_upstream(answer_with_target, check)


ODD_NAMES = {
    "line break": "i-1%0d%0aExpected-Instance:%20i-2",
    "zero byte": "i-1%00",
    "space": "%20i-1",
    "no UTF-8": "i-1%ff",
    "not ASCII": "i-%C3%A9",
    "long": "i" * 9_000,
}


def test_an_odd_name_leaves_the_good_one_in_use(platform):
    """Guard against a name that cannot be a field of a request."""

    def check(upstream):
        host, port = NODE_HOSTS[0], upstream.port
        harmful = []
        for number, (label, name) in enumerate(ODD_NAMES.items(), 1):
            good = write_heartbeat(host, port, Sequence=10 * number)
            assert put_heartbeat(host, good) == 200
            for node in NODE_HOSTS:
                wait_for_result(
                    lambda node=node: send_call(node), (200, b"/a/x")
                )
            status = put_heartbeat(host, good, name)
            answer = send_call(host)
            if status != 400 or answer != (200, b"/a/x"):
                harmful.append((label, status, answer))
        assert not harmful

    run_with_upstream(answer_with_target, check)


def alter_document(version, old, new):
    """Return a document's bytes with a part of its text replaced."""
    text = json.dumps(build_document(version))
    assert old in text
    return text.replace(old, new).encode()


def put_document(host, data, base):
    """Submit a document's bytes and return the status."""
    headers = [("If-Match", f"{base:08x}")]
    path = "/rhubarbhollow/configuration"
    return send_request("PUT", host, CONTROL_PORT, path, data, headers)[0]


def read_document(host):
    path = "/rhubarbhollow/configuration"
    return send_request("GET", host, CONTROL_PORT, path)


ODD_PARTS = {
    "nested": ("[1]", NESTED),
    "nested less": ("[1]", "[" * 900 + "]" * 900),
    "nested prefix": ('"/a/"', NESTED),
    "timeout": ('"TimeoutS": 5', '"TimeoutS": -1e308'),
    "timeout above": ('"TimeoutS": 5', '"TimeoutS": 1e308'),
    "timeout infinite": ('"TimeoutS": 5', '"TimeoutS": 1e999'),
    "objective": ('"LatencyObjectiveS": 2', '"LatencyObjectiveS": -1e308'),
    "attempts": ('"MaxAttempts": 2', f'"MaxAttempts": {10**400}'),
    "attempts below": ('"MaxAttempts": 2', f'"MaxAttempts": -{10**400}'),
    "rank": ('"Unknown": [1]', f'"Priority": {10**400}'),
    "weight": (
        '"Service": "desk", "TimeoutS"',
        '"TrafficSplit": [{"Service": "desk", "Weight": 5e-324}], "TimeoutS"',
    ),
    "surrogate": ('"Name": "r"', '"Name": "\\ud800"'),
    "surrogate kept": ("[1]", '"\\ud800"'),
    "number kept": ("[1]", "9" * 5_000),
    "duplicate": ('"Name": "r"', '"Name": "r", "Name": "s"'),
    "duplicate host": ('"Host": ', '"Host": "other.example", "Host": '),
    "host": ('"shop.example"', '"a..b:99999"'),
    "not a number": ('"TimeoutS": 5', '"TimeoutS": NaN'),
    "truth": ('"MaxAttempts": 2', '"MaxAttempts": true'),
}


def test_odd_documents_are_refused_or_read_by_all(platform):
    """Guard against a document that is taken and then read by none."""
    version, failed = 2, []
    for label, part in ODD_PARTS.items():
        host = CONTROL_HOSTS[version % 3]
        data = alter_document(version + 1, *part)
        status = put_document(host, data, version)
        if status == 200:
            version += 1
            read = {read_document(other) for other in CONTROL_HOSTS}
            if [code for code, _ in read] != [200]:
                failed.append((label, read))
        elif status != 400:
            failed.append((label, status))
    assert not failed
    # All of it is read again at a start, and what follows is in force.
    for host in HOSTS:
        platform.signal(host, signal.SIGKILL)
        platform.wait(host)
        platform.start(host)
    last = build_document(version + 1, "/b/")
    wait_for_result(
        lambda: put_configuration(CONTROL_HOSTS[0], last, version), 200
    )
    for host in NODE_HOSTS:
        wait_for_result(lambda host=host: readiness_status(host), 200)
        wait_for_result(lambda host=host: send_call(host)[0], 404)
        wait_for_result(lambda host=host: send_call(host, "/b/x")[0], 503)


GOOD_SEED = f"{CONTROL_HOSTS[0]}:{CONTROL_PORT}"
ODD_SETTINGS = {
    "nested": {"more": f', "x": {NESTED}'},
    "nested seeds": {"more": f', "Seeds": {NESTED}'},
    "no text": {"Seeds": [GOOD_SEED, 5, None, {}]},
    "long label": {"Seeds": [GOOD_SEED, f"{'a' * 70}:{CONTROL_PORT}"]},
    "empty label": {"Seeds": [GOOD_SEED, f"a..b:{CONTROL_PORT}"]},
    "not ASCII": {"Seeds": [GOOD_SEED, f"{'é' * 70}:{CONTROL_PORT}"]},
    "zero byte": {"Seeds": [GOOD_SEED, f"\0:{CONTROL_PORT}"]},
    "no host": {"Seeds": [GOOD_SEED, f":{CONTROL_PORT}"]},
    "port": {"Seeds": [GOOD_SEED, f"{NETWORK}.2.99:{10**400}"]},
    "times": {"HeartbeatIntervalS": 1e300, "Bounds": {"GracePeriodS": 1e300}},
}
# Longer than the files are polled at, and than a link needs to connect.
RELOAD_SECONDS = 2.5


@pytest.mark.parametrize("label", ODD_SETTINGS)
def test_odd_settings_end_no_running_process(platform, label):
    """Guard against one odd seed that ends all that read the list."""
    for host in HOSTS:
        platform.write_settings(host, **ODD_SETTINGS[label])
    time.sleep(RELOAD_SECONDS)
    for host in HOSTS:
        assert platform.exit_status(host) is None, host
    second = build_document(7, "/b/")
    wait_for_result(
        lambda: put_configuration(CONTROL_HOSTS[0], second, 2), 200
    )
    for node in NODE_HOSTS:
        wait_for_result(lambda node=node: send_call(node)[0], 404)


@pytest.mark.parametrize("born", [(1 << 62) + 1, 1 << 63, 10**30])
def test_a_crash_after_an_odd_start_time_ends_no_process(platform, born):
    """Guard against a crash report that no process can read."""

    def check(upstream):
        host = NODE_HOSTS[0]
        for changes in ({}, {"born": born, "Sequence": 2}):
            put_heartbeat(
                host, write_heartbeat(host, upstream.port, **changes)
            )
        for node in NODE_HOSTS:
            wait_for_result(lambda node=node: readiness_status(node), 200)
        lost = platform.read_log(host).count("source_lost")
        send_call(host)
        time.sleep(SPREAD_SECONDS)
        for running in HOSTS:
            assert platform.exit_status(running) is None, running
        # The report goes out once, not on one connection after another.
        assert platform.read_log(host).count("source_lost") <= lost + 1
        # Changes still reach the node.
        second = build_document(7, "/b/")
        wait_for_result(
            lambda: put_configuration(CONTROL_HOSTS[0], second, 2), 200
        )
        for node in NODE_HOSTS:
            wait_for_result(lambda node=node: send_call(node, "/a/x")[0], 404)

    upstreams = []

    async def crash(_, writer):
        upstreams[0]._server.close()
        for open_writer in list(upstreams[0]._writers):
            open_writer.transport.abort()

    def check_with(upstream):
        upstreams.append(upstream)
        check(upstream)

    run_with_upstream(crash, check_with)

"""The platform's roles as five processes on the loopback interface.

A stand-in for the platform writes the settings files and acts as the
operator, as one upstream and as its callers.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING

import httpcore
import pytest

from tests.standin.scripted_upstream import ScriptedUpstream, encode_answer

if TYPE_CHECKING:
    from pathlib import Path
    from typing import BinaryIO

START_SECONDS = 60.0
CONTROL_PORT = 18144
# The settings of the platform name at most three control instances.
SEED_COUNT = 3
# Test runs side by side use the same ports, so each has a network.
NETWORK = f"127.{1 + os.getpid() % 250}"
HOSTS = (f"{NETWORK}.0.1", f"{NETWORK}.0.2", f"{NETWORK}.0.3")
NODE_HOSTS = (f"{NETWORK}.0.11", f"{NETWORK}.0.12")
HOST = "shop.example"


class Platform:
    """Start and stop the roles' processes as the platform does."""

    def __init__(
        self, folder: Path, control_hosts: tuple[str, ...] = HOSTS
    ) -> None:
        self._folder = folder
        self._control_hosts = control_hosts
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._started_hosts: set[str] = set()

    def start(self, host: str, **changes: object) -> None:
        path = self.write_settings(host, **changes)
        environment = {**os.environ, "RHUBARBHOLLOW_BOOT": str(path)}
        log = self.open_log(host)
        self._processes[host] = subprocess.Popen(
            [sys.executable, "-m", "rhubarbhollow_platform"],
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self._started_hosts.add(host)

    def open_log(self, host: str) -> BinaryIO:
        """Open what a process writes its log to."""
        return self.log_path(host).open("ab")

    def log_path(self, host: str) -> Path:
        return self._folder / f"{host}.log"

    def process_id(self, host: str) -> int:
        return self._processes[host].pid

    def write_settings(
        self, host: str, more: str = "", **changes: object
    ) -> Path:
        """Write a settings file; ``more`` is JSON for its end."""
        path = self._folder / f"{host}.json"
        text = json.dumps({**self._settings(host), **changes})
        path.write_text(f"{text[:-1]}{more}}}")
        return path

    def _settings(self, host: str) -> dict[str, object]:
        is_control_host = host in self._control_hosts
        ports = {"Control": f"{host}:{CONTROL_PORT}"}
        if not is_control_host:
            ports |= {
                "Inbound": f"{host}:18146",
                "Outbound": f"{host}:18147",
                "Ready": f"{host}:18141",
            }
        folder = self.data_folder(host)
        return {
            "NodeName": host,
            "Ip": host,
            "Zone": "east",
            "ListenAddresses": ports,
            "InternalPortRange": [17380, 17395],
            "Seeds": [
                f"{seed}:{CONTROL_PORT}"
                for seed in self._control_hosts[:SEED_COUNT]
            ],
            "Contracts": ["base", "rollout"],
            "FirstStart": host not in self._started_hosts,
            "DataDirectory": str(folder) if is_control_host else None,
            "HeartbeatIntervalS": 1.5,
            "Service": None if is_control_host else "desk",
        }

    def data_folder(self, host: str) -> Path:
        return self._folder / f"data-{host}"

    def kill(self, host: str) -> None:
        self.signal(host, signal.SIGKILL)
        self.wait(host)

    def signal(self, host: str, number: int) -> None:
        self._processes[host].send_signal(number)

    def exit_status(self, host: str) -> int | None:
        return self._processes[host].poll()

    def read_log(self, host: str) -> str:
        return self.log_path(host).read_text()

    def wait(self, host: str) -> int:
        return self._processes[host].wait(START_SECONDS)

    def stop(self) -> None:
        for process in self._processes.values():
            process.kill()
            process.wait()


def send_request(method, host, port, path, body=b"", headers=()):
    """Send a request on a new connection; return status and body.

    Return ``(0, b"")`` if the host cannot be reached or breaks off.
    """
    url = f"http://{host}:{port}{path}"
    all_headers = [("connection", "close"), *headers]
    with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
        answer = httpcore.request(
            method,
            url,
            content=body,
            headers=all_headers,
            extensions={"timeout": {"connect": 1.0, "read": 5.0}},
        )
        return answer.status, answer.content
    return 0, b""


def wait_for_result(query, expected, waits_for=None):
    """Repeat a query until it returns the expected result.

    With ``waits_for`` only that may be returned before.
    """
    deadline = time.monotonic() + START_SECONDS
    answer = query()
    while answer != expected:
        assert time.monotonic() < deadline, answer
        assert waits_for in (None, answer), answer
        time.sleep(0.05)
        answer = query()


def build_document(version, prefix="/a/"):
    rule = {
        "Name": "r",
        "Kind": "safe",
        "LatencyObjectiveS": 2,
        "Match": {"PathPrefix": prefix},
        "Action": {"Service": "desk", "TimeoutS": 5, "MaxAttempts": 2},
        "Unknown": [1],
    }
    return {
        "Version": f"{version:08x}",
        "Listeners": [{"Host": HOST, "RuleTables": [rule]}],
        "Clusters": [{"Name": "desk", "HealthPath": "/h"}],
    }


def put_configuration(host, value, base):
    """Submit a configuration on top of a version; return the status."""
    data = json.dumps(value).encode()
    headers = [("If-Match", f"{base:08x}")]
    path = "/rhubarbhollow/configuration"
    return send_request("PUT", host, CONTROL_PORT, path, data, headers)[0]


def get_configuration(host):
    """Return the configuration, or the status if it is not 200."""
    path = "/rhubarbhollow/configuration"
    status, body = send_request("GET", host, CONTROL_PORT, path)
    return json.loads(body) if status == 200 else status


def readiness_status(host):
    return send_request("GET", host, 18141, "/rhubarbhollow/readiness")[0]


def send_heartbeat(host, port, sequence, state="ready"):
    """Send an instance's heartbeat; return the status."""
    value = {
        "Service": "desk",
        "Address": f"{host}:{port}",
        "Zone": "east",
        "Version": "v1",
        "Slots": 9,
        "State": state,
        "ColdRemainingS": 0,
        "Sequence": sequence,
        "born": 1_700_000_000_000,
    }
    return send_request(
        "PUT",
        host,
        CONTROL_PORT,
        "/rhubarbhollow/instances/i-1",
        json.dumps(value).encode(),
    )[0]


def send_call(host, path="/a/x"):
    headers = [
        ("Host", HOST),
        ("Request-Id", "q1.1"),
        ("Deadline-Milliseconds", "4000"),
    ]
    return send_request("GET", host, 18147, path, headers=headers)


class Upstream(ScriptedUpstream):
    """Listen on the node's own host address."""

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)


async def answer_with_target(request, writer):
    """Check the mesh's header fields and answer with the target."""
    assert request.headers["expected-instance"] == "i-1"
    assert request.headers["caller-service"] == "desk"
    writer.write(
        encode_answer(
            request.target.encode(),
            f"Request-Id: {request.headers['request-id']}",
        )
    )


@pytest.fixture
def platform(tmp_path):
    running = Platform(tmp_path)
    for host in (*HOSTS, *NODE_HOSTS):
        running.start(host)
    yield running
    running.stop()


def test_changes_and_calls_survive_a_crash_and_a_drain(platform):
    """Guard against lost changes and calls when roles crash or stop.

    A configuration change is submitted, repeated and contested; a
    control instance crashes during the next one; then the upstream
    drains and a node stops.
    """
    first, second = build_document(2), build_document(7, "/b/")
    wait_for_result(lambda: put_configuration(HOSTS[0], first, 0), 200)
    # A majority forms the log, so one instance may still be starting.
    for host in HOSTS:
        wait_for_result(lambda host=host: get_configuration(host), first)
    # A repeat at another instance succeeds; a different document for
    # the same version is refused.
    assert put_configuration(HOSTS[1], first, 0) == 200
    assert put_configuration(HOSTS[2], build_document(2, "/c/"), 0) == 412
    for host in NODE_HOSTS:
        wait_for_result(lambda host=host: readiness_status(host), 200)

    async def serve_upstream():
        upstream = Upstream(answer_with_target)
        await upstream.start(NODE_HOSTS[0])
        await asyncio.to_thread(run_scenario, upstream.port)

    def run_scenario(port):
        assert send_heartbeat(NODE_HOSTS[0], port, 1) == 200
        # Both the node beside the upstream and the other node reach it.
        for host in NODE_HOSTS:
            wait_for_result(lambda host=host: send_call(host), (200, b"/a/x"))
        # Until a control instance confirms its release, a node answers
        # 503 for a path without a route.
        wait_for_result(
            lambda: send_call(NODE_HOSTS[1], "/b/x")[0], 404, waits_for=503
        )
        # The change is accepted while one control instance is down, and
        # that instance catches up after its restart.
        platform.signal(HOSTS[0], signal.SIGKILL)
        platform.wait(HOSTS[0])
        wait_for_result(lambda: put_configuration(HOSTS[1], second, 2), 200)
        wait_for_result(
            lambda: send_call(NODE_HOSTS[1], "/b/x"), (200, b"/b/x")
        )
        platform.start(HOSTS[0])
        wait_for_result(lambda: get_configuration(HOSTS[0]), second)
        # A draining upstream gets no call once its state has been
        # acknowledged.
        assert send_heartbeat(NODE_HOSTS[0], port, 2, "draining") == 200
        assert send_call(NODE_HOSTS[0], "/b/x")[0] == 503
        # A node that gets SIGTERM becomes unready and exits.
        platform.signal(NODE_HOSTS[1], signal.SIGTERM)
        wait_for_result(lambda: readiness_status(NODE_HOSTS[1]) == 200, False)
        assert platform.wait(NODE_HOSTS[1]) == 0

    asyncio.run(serve_upstream())


def build_unsafe_document(**objectives):
    """Return a document with an unsafe route for each objective."""
    rules = [
        {
            "Name": name,
            "Kind": "unsafe",
            "LatencyObjectiveS": objective,
            "Match": {"PathPrefix": f"/{name}/"},
            "Action": {"Service": "desk", "TimeoutS": 30, "MaxAttempts": 2},
        }
        for name, objective in objectives.items()
    ]
    listeners = [{"Host": HOST, "RuleTables": rules}]
    return {**build_document(2), "Listeners": listeners}


def post_call(host, path):
    """Return the status of a call, or 0 if it was cut."""
    headers = [
        ("Host", HOST),
        ("Request-Id", path),
        ("Deadline-Milliseconds", "25000"),
    ]
    with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
        return httpcore.request(
            "POST",
            f"http://{host}:18147{path}",
            headers=headers,
            content=b"x",
            extensions={"timeout": {"connect": 5.0, "read": START_SECONDS}},
        ).status
    return 0


@pytest.mark.parametrize("stopped", NODE_HOSTS)
def test_every_call_of_a_stopping_node_gets_an_answer(platform, stopped):
    """Guard against unsafe calls that are taken only to be cut."""
    document = build_unsafe_document(short=0.5, long=4)

    async def answer_some(request, writer):
        if request.target.endswith("ready"):
            await answer_with_target(request, writer)
        else:
            await asyncio.Event().wait()

    async def main():
        upstream = Upstream(answer_some)
        await upstream.start(NODE_HOSTS[0])
        port = upstream.port

        def call(path):
            return asyncio.create_task(
                asyncio.to_thread(post_call, stopped, path)
            )

        def prepare():
            wait_for_result(
                lambda: put_configuration(HOSTS[0], document, 0), 200
            )
            wait_for_result(
                lambda: send_heartbeat(NODE_HOSTS[0], port, 1), 200
            )
            wait_for_result(lambda: post_call(stopped, "/long/ready"), 200)

        await asyncio.to_thread(prepare)
        running = call("/long/running")
        async with upstream.changed:
            await upstream.changed.wait_for(
                lambda: has_request(upstream, "/long/running")
            )
        platform.signal(stopped, signal.SIGTERM)
        await asyncio.to_thread(
            wait_for_result, lambda: readiness_status(stopped) == 200, False
        )
        taken, refused = call("/short/late"), call("/long/late")
        assert await refused == 503
        assert await running == 502
        # Another node ends a call at the deadline that it was told.
        assert await taken in (502, 504)
        assert await asyncio.to_thread(platform.wait, stopped) == 0
        assert not has_request(upstream, "/long/late")
        [late] = [
            each for each in upstream.requests if each.target == "/short/late"
        ]
        assert int(late.headers["deadline-milliseconds"]) < 5_500

    asyncio.run(main())


def has_request(upstream, target):
    return any(each.target == target for each in upstream.requests)

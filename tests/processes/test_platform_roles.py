"""The roles of the users' platform as processes on loopback.

A stand-in of the platform writes the settings files and plays the
operator, one upstream and its clients; five processes run.
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

START_SECONDS = 60.0
CONTROL_PORT = 18144
HOSTS = ("127.1.0.1", "127.1.0.2", "127.1.0.3")
NODE_HOSTS = ("127.1.0.11", "127.1.0.12")
HOST = "shop.example"


class Platform:
    """Start and stop the roles, and speak as the platform does."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._first: set[str] = set()

    def start(self, host: str, **changes: object) -> None:
        path = self._folder / f"{host}.json"
        path.write_text(json.dumps({**self._settings(host), **changes}))
        environment = {**os.environ, "RHUBARBHOLLOW_BOOT": str(path)}
        log = (self._folder / f"{host}.log").open("ab")
        self._processes[host] = subprocess.Popen(
            [sys.executable, "-m", "rhubarbhollow_platform"],
            env=environment,
            stdout=log,
            stderr=log,
        )
        self._first.add(host)

    def _settings(self, host: str) -> dict[str, object]:
        is_core = host in HOSTS
        ports = {"Control": f"{host}:{CONTROL_PORT}"}
        if not is_core:
            ports |= {
                "Inbound": f"{host}:18146",
                "Outbound": f"{host}:18147",
                "Ready": f"{host}:18141",
            }
        folder = self._folder / f"data-{host}"
        return {
            "NodeName": host,
            "Ip": host,
            "Zone": "east",
            "ListenAddresses": ports,
            "InternalPortRange": [17380, 17395],
            "Seeds": [f"{one}:{CONTROL_PORT}" for one in HOSTS],
            "FirstStart": host not in self._first,
            "DataDirectory": str(folder) if is_core else None,
            "HeartbeatIntervalS": 1.5,
            "Service": None if is_core else "desk",
        }

    def signal(self, host: str, number: int) -> None:
        self._processes[host].send_signal(number)

    def wait(self, host: str) -> int:
        return self._processes[host].wait(START_SECONDS)

    def stop(self) -> None:
        for process in self._processes.values():
            process.kill()
            process.wait()


def call(method, host, port, path, body=b"", headers=()):
    """Make one request on a connection of its own."""
    url = f"http://{host}:{port}{path}"
    named = [("connection", "close"), *headers]
    with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
        answer = httpcore.request(
            method,
            url,
            content=body,
            headers=named,
            extensions={"timeout": {"connect": 1.0, "read": 5.0}},
        )
        return answer.status, answer.content
    return 0, b""


def poll(question, expected):
    """Ask until the answer is the expected one."""
    deadline = time.monotonic() + START_SECONDS
    answer = question()
    while answer != expected:
        assert time.monotonic() < deadline, answer
        time.sleep(0.05)
        answer = question()


def document(version, prefix="/a/"):
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


def put(host, value, base):
    data = json.dumps(value).encode()
    headers = [("If-Match", f"{base:08x}")]
    path = "/rhubarbhollow/configuration"
    return call("PUT", host, CONTROL_PORT, path, data, headers)[0]


def get(host):
    path = "/rhubarbhollow/configuration"
    status, body = call("GET", host, CONTROL_PORT, path)
    return json.loads(body) if status == 200 else status


def ready(host):
    return call("GET", host, 18141, "/rhubarbhollow/readiness")[0]


def beat(host, port, sequence, state="ready"):
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
    return call(
        "PUT",
        host,
        CONTROL_PORT,
        "/rhubarbhollow/instances/i-1",
        json.dumps(value).encode(),
    )[0]


def ask(host, path="/a/x"):
    headers = [
        ("Host", HOST),
        ("Request-Id", "q1.1"),
        ("Deadline-Milliseconds", "4000"),
    ]
    return call("GET", host, 18147, path, headers=headers)


class Upstream(ScriptedUpstream):
    """Listen on the node's own host."""

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)


async def answer(request, writer):
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


def test_a_day_in_small(platform):
    first, second = document(2), document(7, "/b/")
    poll(lambda: put(HOSTS[0], first, 0), 200)
    # the same order again, at another instance, and one that lost
    assert put(HOSTS[1], first, 0) == 200
    assert put(HOSTS[2], document(2, "/c/"), 0) == 412
    for host in HOSTS:
        poll(lambda host=host: get(host), first)
    for host in NODE_HOSTS:
        poll(lambda host=host: ready(host), 200)

    async def with_upstream():
        upstream = Upstream(answer)
        await upstream.start(NODE_HOSTS[0])
        await asyncio.to_thread(play, upstream.port)

    def play(port):
        assert beat(NODE_HOSTS[0], port, 1) == 200
        # both the node beside it and the other one reach it
        for host in NODE_HOSTS:
            poll(lambda host=host: ask(host), (200, b"/a/x"))
        assert ask(NODE_HOSTS[1], "/b/x")[0] == 404
        # one control instance dies and comes back; a change meanwhile
        platform.signal(HOSTS[0], signal.SIGKILL)
        platform.wait(HOSTS[0])
        poll(lambda: put(HOSTS[1], second, 2), 200)
        poll(lambda: ask(NODE_HOSTS[1], "/b/x"), (200, b"/b/x"))
        platform.start(HOSTS[0])
        poll(lambda: get(HOSTS[0]), second)
        # a leaving upstream gets nothing more once that is acknowledged
        assert beat(NODE_HOSTS[0], port, 2, "draining") == 200
        assert ask(NODE_HOSTS[0], "/b/x")[0] == 503
        # a node that is stopped is not ready and ends by itself
        platform.signal(NODE_HOSTS[1], signal.SIGTERM)
        poll(lambda: ready(NODE_HOSTS[1]) == 200, False)
        assert platform.wait(NODE_HOSTS[1]) == 0

    asyncio.run(with_upstream())

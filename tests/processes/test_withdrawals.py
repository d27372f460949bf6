"""Withdrawals of upstreams around a restart of the node beside them."""

from __future__ import annotations

import asyncio
import signal
import time

import pytest

from tests.processes.test_platform_roles import (
    CONTROL_PORT,
    HOSTS,
    NODE_HOSTS,
    Platform,
    Upstream,
    answer_with_target,
    build_document,
    put_configuration,
    send_call,
    send_heartbeat,
    send_request,
    wait_for_result,
)

NODE = NODE_HOSTS[0]
# An acknowledged withdrawal reaches all nodes within this time.
DRAIN_SECONDS = 2.0
# Between the starts of two groups of processes.
PAUSE_SECONDS = 1.0


@pytest.fixture
def platform(tmp_path):
    running = Platform(tmp_path)
    for host in (*HOSTS, *NODE_HOSTS):
        running.start(host)
    yield running
    running.stop()


def withdraw(host):
    path = "/rhubarbhollow/instances/i-1"
    return send_request("DELETE", host, CONTROL_PORT, path)[0]


def restart(platform):
    """Kill the node and start it until it knows a release."""
    platform.kill(NODE)
    platform.start(NODE)
    # Without an upstream the call is refused as not run.
    wait_for_result(lambda: send_call(NODE, "/other/")[0], 404)


def run_beside_upstream(platform, play):
    """Run ``play(port)`` beside an upstream that serves calls."""

    async def main():
        upstream = Upstream(answer_with_target)
        await upstream.start(NODE)
        await asyncio.to_thread(prepare, upstream.port)
        await asyncio.to_thread(play, upstream.port)

    def prepare(port):
        document = build_document(2)
        wait_for_result(lambda: put_configuration(HOSTS[0], document, 0), 200)
        wait_for_result(lambda: send_heartbeat(NODE, port, 1), 200)
        for host in NODE_HOSTS:
            wait_for_result(lambda host=host: send_call(host), (200, b"/a/x"))

    asyncio.run(main())


def check_withdrawn():
    time.sleep(DRAIN_SECONDS)
    for host in NODE_HOSTS:
        assert send_call(host)[0] == 503


def test_a_withdrawal_before_the_first_heartbeat_is_kept(platform):
    """Guard against an order that a restarted node forgets.

    It has not seen the upstream since its start when the upstream
    withdraws, and a heartbeat of before arrives late.
    """

    def play(port):
        restart(platform)
        assert withdraw(NODE) == 200
        assert send_heartbeat(NODE, port, 2) == 200
        check_withdrawn()

    run_beside_upstream(platform, play)


def test_a_withdrawal_from_before_a_crash_is_kept(platform):
    """Guard against an order that ends with the node's process.

    The node acknowledges the withdrawal, crashes and starts again; then
    a heartbeat of before arrives late.
    """

    def play(port):
        assert withdraw(NODE) == 200
        restart(platform)
        assert send_heartbeat(NODE, port, 2) == 200
        check_withdrawn()

    run_beside_upstream(platform, play)


def restart_all(platform, groups):
    """Kill all processes at once; start each group once it is known."""
    for host in (*HOSTS, *NODE_HOSTS):
        platform.signal(host, signal.SIGKILL)
    for host in (*HOSTS, *NODE_HOSTS):
        platform.wait(host)
    for group in groups:
        for host in group:
            platform.start(host)
        time.sleep(PAUSE_SECONDS)


@pytest.mark.parametrize(
    "groups",
    [
        [(*HOSTS, *NODE_HOSTS)],
        [NODE_HOSTS, HOSTS],
        [HOSTS, NODE_HOSTS],
        # The instance that the node follows at first knows no leader.
        [(*NODE_HOSTS, HOSTS[0]), HOSTS[1:]],
    ],
)
@pytest.mark.parametrize("state", ["draining", "gone"])
def test_a_departure_outlives_all_processes(platform, groups, state):
    """Guard against calls to an upstream that all restarts forget.

    The node acknowledges that the upstream drains or withdraws, all
    processes are killed, and a heartbeat of before arrives late, again
    and again.
    """

    def leave(port):
        if state == "gone":
            return withdraw(NODE)
        return send_heartbeat(NODE, port, 3, state)

    def play(port):
        wait_for_result(lambda: leave(port), 200)
        restart_all(platform, groups)
        wait_for_result(lambda: send_heartbeat(NODE, port, 2), 200)
        deadline = time.monotonic() + DRAIN_SECONDS
        for host in NODE_HOSTS:
            wait_for_result(
                lambda host=host: send_call(host, "/other/")[0], 404
            )
        while time.monotonic() < deadline:
            assert send_heartbeat(NODE, port, 2) == 200
            for host in NODE_HOSTS:
                assert send_call(host)[0] == 503
            time.sleep(0.1)

    run_beside_upstream(platform, play)


def test_a_ready_upstream_is_listed_after_all_processes_restart(platform):
    """Guard against an upstream kept away by the wait for records."""

    def play(port):
        restart_all(platform, [(*HOSTS, *NODE_HOSTS)])
        wait_for_result(lambda: send_heartbeat(NODE, port, 2), 200)
        for host in NODE_HOSTS:
            wait_for_result(lambda host=host: send_call(host), (200, b"/a/x"))

    run_beside_upstream(platform, play)

"""Withdrawals of upstreams around a restart of the node beside them."""

from __future__ import annotations

import asyncio
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

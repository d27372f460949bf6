"""A control instance that is replaced before another loses its disk."""

from __future__ import annotations

import shutil
import signal
import time

import pytest

from tests.processes.test_platform_roles import (
    HOSTS,
    NETWORK,
    NODE_HOSTS,
    Platform,
    build_document,
    get_configuration,
    put_configuration,
    send_call,
    send_request,
    wait_for_result,
)

SUCCESSOR = f"{NETWORK}.0.4"
CONTROL_PORT = 18144
# Another disk may be lost this long after the successor has started.
CATCH_UP_SECONDS = 4.0
# A change is acknowledged this long after a loss that must be borne.
RECOVERY_SECONDS = 4.0
RESTART_SECONDS = 2.0
# Within this time instances start and have not formed their log.
FIRST_START_SECONDS = 0.6


@pytest.fixture
def platform(tmp_path):
    running = Platform(tmp_path, control_hosts=(*HOSTS, SUCCESSOR))
    for host in HOSTS:
        running.start(host)
    yield running
    running.stop()


@pytest.mark.parametrize("is_leader_lost", [False, True])
@pytest.mark.parametrize("restart_seconds", [None, 0.0, 7.0])
def test_losing_a_disk_after_an_instance_was_replaced_keeps_the_quorum(
    platform, restart_seconds, is_leader_lost
):
    first, second = build_document(2), build_document(7, "/b/")
    wait_for_result(lambda: put_configuration(HOSTS[0], first, 0), 200)
    platform.kill(HOSTS[0])
    removed_at = time.monotonic()
    platform.start(SUCCESSOR, FirstStart=False)
    wait_for_result(lambda: is_listening(SUCCESSOR), True)
    if restart_seconds is not None:
        # All that was counted until now begins anew with the leader.
        sleep_until(removed_at + restart_seconds)
        restart_core(platform)
    time.sleep(CATCH_UP_SECONDS)
    leader, *others = sort_leader_first(platform)
    lost, kept = (leader, others[0]) if is_leader_lost else (others[0], leader)
    platform.kill(lost)
    shutil.rmtree(platform.data_folder(lost))
    deadline = time.monotonic() + RECOVERY_SECONDS
    while put_configuration(kept, second, 2) != 200:
        assert time.monotonic() < deadline
        time.sleep(0.05)
    wait_for_result(lambda: get_configuration(kept), second)


@pytest.mark.parametrize("is_one_replaced", [False, True])
def test_a_core_that_is_killed_at_its_first_start_forms_its_log(
    platform, is_one_replaced
):
    """Guard against instances that wait for ever for a first leader.

    Their later starts have no right to form the log by their settings,
    and one of them may be lost for good before it is formed.
    """
    time.sleep(FIRST_START_SECONDS)
    for host in HOSTS:
        platform.kill(host)
    time.sleep(0.3)
    for host in (SUCCESSOR, *HOSTS[1:]) if is_one_replaced else HOSTS:
        platform.start(host, FirstStart=False)
    document = build_document(2)
    wait_for_result(lambda: put_configuration(HOSTS[1], document, 0), 200)
    last = SUCCESSOR if is_one_replaced else HOSTS[0]
    wait_for_result(lambda: get_configuration(last), document)


@pytest.mark.parametrize("wait_seconds", [0.0, 2.5])
def test_a_planned_replacement_leaves_a_quorum_for_the_next_loss(
    platform, wait_seconds
):
    first, second = build_document(2), build_document(7, "/b/")
    wait_for_result(lambda: put_configuration(HOSTS[0], first, 0), 200)
    platform.start(SUCCESSOR, FirstStart=False)
    wait_for_result(lambda: get_configuration(SUCCESSOR), first)
    time.sleep(CATCH_UP_SECONDS)
    platform.signal(HOSTS[0], signal.SIGTERM)
    platform.wait(HOSTS[0])
    time.sleep(wait_seconds)
    platform.kill(HOSTS[1])
    shutil.rmtree(platform.data_folder(HOSTS[1]))
    deadline = time.monotonic() + RECOVERY_SECONDS
    while put_configuration(SUCCESSOR, second, 2) != 200:
        assert time.monotonic() < deadline
        time.sleep(0.05)


def test_a_restart_moves_no_second_vote_into_a_data_centre(tmp_path):
    """Guard against a data centre whose loss ends the quorum."""
    first, second = build_document(2), build_document(7, "/b/")
    zones = dict(zip(HOSTS, ("east", "north", "west"), strict=True))
    zones[SUCCESSOR] = zones[HOSTS[0]]
    platform = Platform(tmp_path, control_hosts=tuple(zones))
    try:
        for host in HOSTS:
            platform.start(host, Zone=zones[host])
        wait_for_result(lambda: put_configuration(HOSTS[0], first, 0), 200)
        platform.start(SUCCESSOR, Zone=zones[SUCCESSOR], FirstStart=False)
        wait_for_result(lambda: is_listening(SUCCESSOR), True)
        time.sleep(CATCH_UP_SECONDS)
        platform.kill(HOSTS[1])
        time.sleep(RESTART_SECONDS)
        platform.start(HOSTS[1], Zone=zones[HOSTS[1]])
        wait_for_result(lambda: is_listening(HOSTS[1]), True)
        time.sleep(CATCH_UP_SECONDS)
        platform.kill(HOSTS[0])
        platform.kill(SUCCESSOR)
        deadline = time.monotonic() + RECOVERY_SECONDS
        while put_configuration(HOSTS[2], second, 2) != 200:
            assert time.monotonic() < deadline
            time.sleep(0.05)
    finally:
        platform.stop()


def restart_core(platform):
    """Restart the remaining instances, which elects a leader anew."""
    hosts = (HOSTS[1], HOSTS[2], SUCCESSOR)
    for host in hosts:
        platform.signal(host, signal.SIGKILL)
    for host in hosts:
        platform.wait(host)
        platform.start(host)
    for host in hosts:
        wait_for_result(lambda host=host: is_listening(host), True)


def sort_leader_first(platform):
    """Return the hosts that are left, the leader first."""

    def is_leader(host):
        log = platform.read_log(host)
        changes = [x for x in log.splitlines() if "event=role_changed" in x]
        return bool(changes) and "role=leader" in changes[-1]

    hosts = (HOSTS[1], HOSTS[2], SUCCESSOR)
    return sorted(hosts, key=is_leader, reverse=True)


def is_listening(host):
    path = "/rhubarbhollow/configuration"
    return send_request("GET", host, CONTROL_PORT, path)[0] != 0


def sleep_until(moment):
    time.sleep(max(0.0, moment - time.monotonic()))


def test_a_new_route_is_not_denied_while_the_log_has_no_quorum(platform):
    platform.start(NODE_HOSTS[0])
    document = build_document(2)
    wait_for_result(lambda: put_configuration(HOSTS[0], document, 0), 200)
    node = NODE_HOSTS[0]
    wait_for_result(lambda: send_call(node, "/b/x")[0], 404)
    for host in HOSTS[:2]:
        platform.kill(host)
    # The remaining instance can't tell whether a release was accepted.
    time.sleep(CATCH_UP_SECONDS)
    for _ in range(20):
        status, body = send_call(node, "/b/x")
        assert status == 503
        assert b"route_unconfirmed" in body
    for host in HOSTS[:2]:
        platform.start(host)
    wait_for_result(lambda: send_call(node, "/b/x")[0], 404)

"""Keys of tenants over their life, with the roles as processes."""

from __future__ import annotations

import asyncio
import json
import signal

from tests.processes.test_platform_roles import (
    CONTROL_PORT,
    HOST,
    HOSTS,
    NODE_HOSTS,
    Upstream,
    build_document,
    readiness_status,
    send_heartbeat,
    send_request,
    wait_for_result,
)
from tests.processes.test_platform_roles import (
    platform as platform,  # noqa: PLC0414 - a fixture
)
from tests.standin.scripted_upstream import encode_answer

CONFIGURATION = "/rhubarbhollow/configuration"
ADMIN_PORT = 9464
OLD, NEW = "sekret-old-7f", "sekret-new-91"


def document(version, *keys):
    value = build_document(version)
    rules = value["Listeners"][0]["RuleTables"]
    rules.append(
        {
            **rules[0],
            "Name": "public",
            "Match": {"PathPrefix": "/p/"},
            "PublicAccess": True,
        }
    )
    tenant = {"Name": "Archive 1", "ApiKeys": list(keys), "Priority": 1}
    return {**value, "Tenants": [tenant, {"Name": "b", "ApiKeys": ["k"]}]}


def call(host, key=None, path="/a/x"):
    headers = [
        ("Host", HOST),
        ("Request-Id", "q1.1"),
        ("Deadline-Milliseconds", "4000"),
        ("Tenant-Name", "forged"),
    ]
    if key is not None:
        headers.append(("Credential", key))
    return send_request("GET", host, 18147, path, headers=headers)


def status_of(host, key=None, path="/a/x"):
    return call(host, key, path)[0]


async def answer_with_tenant(request, writer):
    name = request.headers.get("tenant-name", "none")
    writer.write(
        encode_answer(
            name.encode(), f"Request-Id: {request.headers['request-id']}"
        )
    )


def encode(value):
    return json.dumps(value, separators=(",", ":")).encode()


def submit(host, value, base):
    headers = [("If-Match", f"{base:08x}")]
    return send_request(
        "PUT", host, CONTROL_PORT, CONFIGURATION, encode(value), headers
    )[0]


def check_first_keys(port):
    """Callers need the key of the first release, or a public route."""
    first = document(2, OLD)
    wait_for_result(lambda: submit(HOSTS[0], first, 0), 200)
    for host in NODE_HOSTS:
        wait_for_result(lambda host=host: readiness_status(host), 200)
    assert send_heartbeat(NODE_HOSTS[0], port, 1) == 200
    for host in NODE_HOSTS:
        wait_for_result(lambda host=host: call(host, OLD), (200, b"Archive 1"))
        assert call(host, path="/p/x") == (200, b"none")
        for key in (None, "", NEW):
            wait_for_denial(host, key)


def check_rotation():
    """Both keys are valid, then only the new one."""
    both = document(3, OLD, NEW)
    assert submit(HOSTS[1], both, 2) == 200
    for host in NODE_HOSTS:
        wait_for_result(lambda host=host: status_of(host, NEW), 200)
        assert status_of(host, OLD) == 200
    wait_for_result(
        lambda: send_request("GET", HOSTS[2], CONTROL_PORT, CONFIGURATION),
        (200, encode(both)),
    )
    assert submit(HOSTS[2], document(4, NEW), 3) == 200
    for host in NODE_HOSTS:
        wait_for_result(lambda host=host: status_of(host, OLD) != 200, True)
        wait_for_denial(host, OLD)
        assert status_of(host, NEW) == 200


def check_restart(platform, node):
    """A node that has just started denies no key."""
    platform.kill(node)
    platform.start(node)
    seen = set()

    def is_back():
        seen.add(status_of(node, NEW))
        return 200 in seen

    wait_for_result(is_back, True)
    assert seen <= {0, 200, 503}


def wait_for_denial(host, key):
    """Wait until a node is sure that a key is not valid."""
    wait_for_result(lambda: status_of(host, key), 401, waits_for=503)


def check_secrecy(platform):
    """Neither logs nor the admin port nor metrics show a key."""
    for position in range(1, 4):
        path = f"/v1/releases/{position}/manifest"
        assert send_request("GET", HOSTS[0], ADMIN_PORT, path)[0] == 403
    for host in (*HOSTS, *NODE_HOSTS):
        _, metrics = send_request("GET", host, ADMIN_PORT, "/metrics")
        assert b"rhubarbhollow_" in metrics
        assert b"sekret" not in metrics
        assert "sekret" not in platform.read_log(host)


def check_all_denied():
    for host in NODE_HOSTS:
        for key in (OLD, None, "", "never"):
            wait_for_result(lambda h=host, k=key: status_of(h, k), 401)
        assert call(host, OLD, "/p/x") == (200, b"none")


def restart_all(platform, port):
    for host in (*HOSTS, *NODE_HOSTS):
        platform.signal(host, signal.SIGKILL)
    for host in (*HOSTS, *NODE_HOSTS):
        platform.wait(host)
        platform.start(host)
    wait_for_result(lambda: send_heartbeat(NODE_HOSTS[0], port, 2), 200)
    for host in NODE_HOSTS:
        wait_for_result(lambda host=host: status_of(host, path="/p/x"), 200)


def test_the_last_keys_are_taken_away(platform):
    """Guard against an empty list of tenants that opens the mesh.

    It holds after a restart of all processes too, and a document
    without the list opens the mesh.
    """
    without = {**document(3), "Tenants": []}
    missing = document(4)
    del missing["Tenants"]

    def play(port):
        check_first_keys(port)
        assert submit(HOSTS[1], without, 2) == 200
        check_all_denied()
        restart_all(platform, port)
        check_all_denied()
        wait_for_result(
            lambda: send_request("GET", HOSTS[0], CONTROL_PORT, CONFIGURATION),
            (200, encode(without)),
        )
        wait_for_result(lambda: submit(HOSTS[0], missing, 3), 200)
        for host in NODE_HOSTS:
            wait_for_result(lambda host=host: status_of(host), 200)

    async def main():
        upstream = Upstream(answer_with_tenant)
        await upstream.start(NODE_HOSTS[0])
        await asyncio.to_thread(play, upstream.port)

    asyncio.run(main())


def test_keys_are_added_rotated_and_revoked(platform):
    """Guard against keys that are denied or accepted at a wrong time.

    The document is rendered byte for byte, a restarted node answers 503
    and never 401 until it knows the keys, and nothing shows a key.
    """

    async def main():
        upstream = Upstream(answer_with_tenant)
        await upstream.start(NODE_HOSTS[0])
        await asyncio.to_thread(check_first_keys, upstream.port)
        await asyncio.to_thread(check_rotation)
        await asyncio.to_thread(check_restart, platform, NODE_HOSTS[1])
        for request in upstream.requests:
            head = request.raw_head.decode("latin-1").lower()
            assert "credential" not in head
            assert "sekret" not in head

    asyncio.run(main())
    check_secrecy(platform)

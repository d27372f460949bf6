"""Odd entries among good ones, on the ports of a running mesh."""

from __future__ import annotations

import json
import urllib.error
import urllib.request

import pytest
from tools.local_mesh import HOST, call

from tests.processes.fleet import Fleet


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path) as running:
        running.submit(1)
        running.wait_position(1)
        yield running
        running.mesh.check_alive()
        running.assert_positions_monotonic()


ODD_ANNOUNCEMENTS = {
    "nested": '{"name": ' + "[" * 100_000 + "]" * 100_000 + "}",
    **{
        f"nested {depth}": '{"port": ' + "[" * depth + "]" * depth + "}"
        for depth in (200, 400, 600, 800, 900, 940, 960, 980)
    },
    "port": '{"port": 65536}',
    "port huge": '{"port": 1e308}',
    "lease not a number": '{"lease_seconds": NaN}',
    "lease infinite": '{"lease_seconds": Infinity}',
    "lease huge": f'{{"lease_seconds": {10**400}}}',
    "load not a number": '{"load": NaN}',
    "load huge": f'{{"load": {10**400}}}',
    "slots huge": '{"slots": 1e999}',
    "slots true": '{"slots": true}',
    "digits": f'{{"slots": {"9" * 5_000}}}',
    "surrogate": '{"service": "\\ud800"}',
    "surrogate key": '{"\\ud800": 1}',
    "scope": '{"host": "::1%\\r\\n"}',
    "long scope": '{"host": "::1%' + "x" * 80 + '"}',
    "zero byte": '{"host": "::1%\\u0000"}',
}


def post_announcement(node, body):
    """Send an announcement's bytes and return the status."""
    request = urllib.request.Request(
        f"{node.admin}/v1/announcements", body.encode(), method="POST"
    )
    try:
        with urllib.request.urlopen(request, timeout=5) as answer:
            return answer.status
    except urllib.error.HTTPError as error:
        return error.code


def test_an_odd_announcement_leaves_the_good_one_in_use(fleet):
    """Guard against an odd announcement that unlists a good one."""
    fleet.start_upstreams()
    node = fleet.nodes[0]
    good = {
        "name": f"bench-{node.name}",
        "service": "test-bench",
        "host": HOST,
        "port": 9,
        "slots": 9,
        "connections": 9,
        "lease_seconds": 3,
    }
    accepted = []
    for label, changes in ODD_ANNOUNCEMENTS.items():
        # The last of repeated keys counts.
        body = json.dumps(good)[:-1] + ", " + changes[1:]
        status = post_announcement(node, body)
        if status not in (400, 422):
            accepted.append((label, status))
        assert call(node, "/benches/1")[0] == 200, label
    assert not accepted

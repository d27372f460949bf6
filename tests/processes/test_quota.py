"""A quota over several nodes while a control instance is killed."""

from __future__ import annotations

import logging
import threading
import time
from hashlib import sha256

import pytest
from tools.local_mesh import call

from tests.processes.fleet import Fleet

HOT_KEY, CALM_KEY = "hot-key", "calm-key"
HOT_RATE, CALM_RATE = 20, 40
LOAD_SECONDS = 16.0
KILL_AFTER_SECONDS = 6.0
WINDOW_SECONDS = 5.0

_log = logging.getLogger(__name__)


def tenant(name, key, rate):
    return {
        "name": name,
        "key_digests": [sha256(key.encode()).hexdigest()],
        "rate": rate,
        "burst": rate,
    }


class Load:
    """Send requests of one tenant to one node at a fixed pace."""

    def __init__(self, node, key, per_second, until):
        self.outcomes = []
        self._node = node
        self._key = key
        self._pace = 1.0 / per_second
        self._until = until
        self.thread = threading.Thread(target=self._run)

    def _run(self):
        due = time.monotonic()
        while due < self._until:
            time.sleep(max(0.0, due - time.monotonic()))
            due += self._pace
            sent = time.monotonic()
            status, headers, _ = call(
                self._node,
                "/benches",
                headers={"rhubarbhollow-credential": self._key},
            )
            self.outcomes.append((sent, status, headers))


@pytest.fixture
def fleet(tmp_path):
    tenants = [
        tenant("calm", CALM_KEY, CALM_RATE),
        tenant("hot", HOT_KEY, HOT_RATE),
    ]
    with Fleet(tmp_path, nodes=1) as running:
        running.submit(1, tenants=tenants)
        running.wait_position(1)
        running.start_upstreams(slots=16)
        yield running
        running.assert_positions_monotonic()


def worst_window(loads):
    """Return the most requests admitted in one window."""
    times = sorted(
        sent
        for load in loads
        for sent, status, _ in load.outcomes
        if status == 200
    )
    return max(
        sum(1 for other in times if start <= other < start + WINDOW_SECONDS)
        for start in times
    )


@pytest.mark.parametrize("is_leader_killed", [True, False])
def test_a_hot_tenant_stays_within_its_quota(fleet, is_leader_killed):
    """Guards against excess, and against victims among the others.

    The hot tenant sends six times its quota through every node while
    a control instance is killed; the calm one sends half of its own.
    """
    until = time.monotonic() + LOAD_SECONDS
    nodes = fleet.nodes
    hot = [Load(n, HOT_KEY, 6 * HOT_RATE / len(nodes), until) for n in nodes]
    calm = [
        Load(n, CALM_KEY, CALM_RATE / 2 / len(nodes), until) for n in nodes
    ]
    for load in hot + calm:
        load.thread.start()
    time.sleep(KILL_AFTER_SECONDS)
    leader = fleet.leader
    others = [c for c in fleet.controls if c is not leader]
    fleet.mesh.kill(leader if is_leader_killed else others[0])
    for load in hot + calm:
        load.thread.join()
    allowed = HOT_RATE * WINDOW_SECONDS + HOT_RATE
    worst = worst_window(hot)
    answers = [one for load in hot for one in load.outcomes]
    admitted = sum(status == 200 for _, status, _ in answers)
    calm_answers = [one for load in calm for one in load.outcomes]
    refused = [s for _, s, _ in calm_answers if s in (429, 503)]
    _log.info(
        "leader killed: %s; hot: %d of %d admitted, worst window %d of %d;"
        " calm: %d of %d refused",
        is_leader_killed, admitted, len(answers), worst, allowed,
        len(refused), len(calm_answers),
    )  # fmt: skip
    assert worst <= allowed
    assert admitted >= 0.6 * HOT_RATE * LOAD_SECONDS
    for _, status, headers in answers:
        if status == 429:
            assert headers["rhubarbhollow-refusal"] == "quota_exceeded"
            assert headers["rhubarbhollow-executed"] == "no"
            assert int(headers["retry-after"]) >= 1
    assert len(refused) <= 0.05 * len(calm_answers)

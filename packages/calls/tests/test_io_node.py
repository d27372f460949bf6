"""The routes of a node across releases, without sockets."""

import random
from dataclasses import replace

from tests.standin.mesh import DEFAULT_ROUTE

from rhubarbhollow_calls.io_node import CallNode
from rhubarbhollow_calls.io_position import PositionCheck
from rhubarbhollow_calls.io_snapshot import Snapshot
from rhubarbhollow_calls.route_table import RouteTable
from rhubarbhollow_calls.upstream_selector import UpstreamSelector
from rhubarbhollow_wire.clock import ManualClock

IDLE = replace(DEFAULT_ROUTE, name="idle", prefix="/idle")
USED = replace(DEFAULT_ROUTE, name="used", prefix="/used")


def node_with(position, *routes):
    clock = ManualClock()
    selector = UpstreamSelector("here", clock, random.Random(5))
    node = CallNode(
        "a", "here", selector, clock, lambda *_: PositionCheck.BEHIND
    )
    install(node, position, *routes)
    return node


def install(node, position, *routes):
    node.install(Snapshot(position, RouteTable(position, routes)))


def test_only_routes_in_use_cost_a_node_anything_at_a_change():
    """Guard against a change that stalls a node by its idle routes."""
    node = node_with(1, IDLE, USED)
    assert node.route_states == ()
    state = node.route(b"any", b"/used/1")
    install(node, 2, IDLE, USED)
    assert [each.route.name for each in node.route_states] == ["used"]
    assert node.route(b"any", b"/idle/1").position == 2
    assert state.position == 1


def test_a_route_keeps_its_counters_over_releases_until_it_is_dropped():
    """Guard against counters that start anew at each change."""
    node = node_with(1, IDLE, USED)
    counters = node.route(b"any", b"/used/1").counters
    budget = node.route(b"any", b"/used/1").budget
    install(node, 2, IDLE, replace(USED, timeout_ms=7))
    changed = node.find_route_state("used")
    assert (changed.counters, changed.budget) == (counters, budget)
    assert (changed.route.timeout_ms, changed.position) == (7, 2)
    install(node, 3, IDLE)
    assert node.find_route_state("used") is None
    assert node.route(b"any", b"/used/1") is None
    install(node, 4, USED)
    assert node.find_route_state("used").counters is not counters


def test_a_retry_budget_outlives_the_routes_that_were_not_used():
    """Guard against saved retries that are granted anew."""
    node = node_with(1, USED)
    budget = node.route(b"any", b"/used/1").budget
    install(node, 2, IDLE)
    assert node.route(b"any", b"/idle/1").budget is budget

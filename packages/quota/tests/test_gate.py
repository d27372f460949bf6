"""Decisions of a node's gate."""

from __future__ import annotations

from quota_load import Named
from quota_world import World

from rhubarbhollow_quota.gate import QuotaGate
from rhubarbhollow_quota.quota import Quota
from rhubarbhollow_quota.verdict import (
    Admitted,
    OverQuota,
    Unconfirmed,
    Wait,
)

TENANT = Named("a", 10.0, 10.0)


def build_gate():
    gate = QuotaGate("n0", 1)
    gate.set_quotas({"a": Quota(10.0, 10.0)}, 0.0)
    return gate


def test_a_tenant_without_a_limit_is_admitted_and_not_reported():
    """Guards against traffic on meshes without quotas."""
    gate = build_gate()
    gate.set_connected(True)
    assert isinstance(gate.admit(Named("b", 0.0, 0.0), 1.0), Admitted)
    assert gate.poll(1.0) is None


def test_a_node_that_was_never_connected_does_not_admit():
    """Guards against an initial burst at each started node."""
    assert isinstance(build_gate().admit(TENANT, 1.0), Unconfirmed)


def test_a_connected_node_asks_before_it_rejects():
    """Guards against rejections while the parent has tokens."""
    gate = build_gate()
    gate.set_connected(True)
    assert isinstance(gate.admit(TENANT, 1.0), Wait)
    report = gate.poll(1.0)
    assert report.claims[0].wanted == 1000
    assert gate.poll(1.01) is None


def test_a_lease_serves_for_a_minute_without_a_parent():
    """Guards against an outage of a data centre that is cut off."""
    world = World({"a": Quota(100, 100)}, nodes=6)
    world.load("a", 60, list(world.leaves), 75.0, 3.0)
    world.run(8.0)
    for leaf in world.leaves.values():
        world.move(leaf.name, None)
    counts = []
    # Leases are renewed every second at both levels, so that four of
    # the six seconds are left at least.
    for until in (12.0, 60.0, 70.0, 75.0):
        before = world.admitted["a"]
        world.run(until)
        counts.append(world.admitted["a"] - before)
    full, half, _, after = counts
    assert full > 0.85 * 4 * 60
    assert 0.4 * 48 * 60 < half < 0.75 * 48 * 60
    assert after == 0
    assert world.unconfirmed["a"] > 200


def test_the_only_node_with_demand_gets_nearly_all_within_half_a_second():
    """Guards against shares that stay with nodes without demand."""
    world = World({"a": Quota(100, 100)}, nodes=30)
    world.load("a", 60, list(world.leaves)[1:], 10.0, 3.0)
    # The burst is spent, so only the rate counts.
    world.load("a", 600, ["n0"], 16.0, 11.0)
    world.run(13.0)
    before = world.admitted["a"]
    world.run(15.0)
    assert world.admitted["a"] - before > 0.9 * 2 * 100
    world_at_once = World({"a": Quota(100, 100)}, nodes=30)
    world_at_once.load("a", 600, ["n0"], 3.5, 3.0)
    world_at_once.run(3.5)
    assert world_at_once.admitted["a"] > 0.9 * 100


def test_retry_after_names_when_a_token_is_expected():
    """Guards against clients that all return for the same token."""
    world = World({"a": Quota(100, 100)}, nodes=3)
    world.load("a", 900, list(world.leaves), 8.0, 3.0)
    world.run(8.0)
    gate = world.leaves["n0"].gate
    # With its parent it would ask first.
    gate.set_connected(False)
    verdicts = [gate.admit(TENANT, 8.0) for _ in range(20)]
    waits = [
        v.retry_after_seconds for v in verdicts if isinstance(v, OverQuota)
    ]
    assert len(waits) > 10
    assert waits == sorted(waits)
    assert 0.05 <= waits[0] <= waits[-1] <= 2.0


def test_a_lowered_quota_holds_at_once_at_a_node_that_is_cut_off():
    """Guards against a node that spends the share of the old quota."""
    world = World({"a": Quota(100, 100)}, nodes=3)
    world.load("a", 90, list(world.leaves), 14.0, 3.0)
    world.run(8.0)
    for leaf in world.leaves.values():
        world.move(leaf.name, None)
    world.change_quota("a", Quota(10, 10))
    world.run(8.0)
    before = world.admitted["a"]
    world.run(14.0)
    assert world.admitted["a"] - before <= 10 + 6 * 10


def test_a_new_leader_adopts_the_shares_of_every_tenant():
    """Guards against a share that is lost since another was first.

    A control instance that had reported one tenant to the new leader
    reported the others' leases as if that leader had granted them.
    """
    quotas = {"hot": Quota(20, 20), "calm": Quota(40, 40)}
    world = World(quotas, nodes=3, seed=2)
    for leaf in list(world.leaves):
        world.move(leaf, "c1")
    world.load("hot", 120, list(world.leaves), 16.0, 3.0)
    world.load("calm", 20, list(world.leaves), 16.0, 3.0)
    world.run(8.0)
    world.kill_site("c0")
    world.run(9.0)
    world.elect("c2")
    # The first report to the new leader, on both tenants, is lost; the
    # next one is urgent and names the hot tenant only.
    world.run(9.003)
    world.blocked.add(frozenset(("c1", "c2")))
    world.run(9.015)
    world.blocked.clear()
    before = world.rejected["calm"]
    world.run(14.0)
    assert world.rejected["calm"] - before <= 0.05 * 5 * 20

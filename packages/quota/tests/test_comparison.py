"""The leases beside other ways to share a quota, on one load."""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass, field

import pytest
from quota_baselines import Central, FixedShares, NoLimit, OneOwner, play
from quota_world import World

from rhubarbhollow_quota.quota import Quota

_log = logging.getLogger(__name__)

NODES = 45
# Share of the requests within the quota that leases may reject, in
# loads without faults and in those with one.
REJECTED_LIMIT = 0.03
FAULT_LIMIT = 0.10
HOT_SHARE = 0.9


@dataclass
class Scenario:
    quotas: dict
    limit: float
    world: World = None
    outages: tuple = ()
    changes: list = field(default_factory=list)

    def quota_at(self, now, tenant):
        quota = self.quotas[tenant]
        for at, name, changed in self.changes:
            if name == tenant and now >= at:
                quota = changed
        return quota


def build(quotas, limit, **kwargs):
    scenario = Scenario(quotas, limit, **kwargs)
    scenario.world = World(quotas, nodes=NODES, seed=3)
    return scenario


def small_tenants():
    quotas = {f"s{i}": Quota(5, 5) for i in range(8)}
    scenario = build(quotas, 0.15)
    for name in quotas:
        scenario.world.load(name, 2.5, list(scenario.world.leaves), 36.0, 6.0)
    scenario.world.run(36.0)
    return scenario


def middle_tenant():
    scenario = build({"m": Quota(40, 40)}, REJECTED_LIMIT)
    world = scenario.world
    world.load("m", 26, list(world.leaves), 36.0, 6.0)
    world.run(36.0)
    return scenario


def hot_tenant():
    quotas = {"hot": Quota(120, 120), "s0": Quota(20, 20)}
    scenario = build(quotas, FAULT_LIMIT)
    world = scenario.world
    everyone = list(world.leaves)
    world.load("hot", 80, everyone, 16.0, 6.0)
    world.load("hot", 480, everyone, 23.0, 16.0)
    world.load("hot", 80, everyone, 30.0, 23.0)
    world.load("s0", 10, everyone, 30.0, 6.0)
    world.run(30.0)
    return scenario


def moving_clients():
    scenario = build({"m": Quota(120, 120)}, FAULT_LIMIT)
    world = scenario.world
    for index in range(6):
        start = 6.0 + 4.0 * index
        home = [
            n
            for n, leaf in world.leaves.items()
            if leaf.control == f"c{index % 3}"
        ]
        world.load("m", 80, home, start + 4.0, start)
    world.run(30.0)
    return scenario


def isolated_data_centre():
    scenario = build({"m": Quota(120, 120)}, FAULT_LIMIT)
    world = scenario.world
    world.load("m", 80, list(world.leaves), 30.0, 6.0)
    world.run(14.0)
    pairs = [frozenset(("c2", "c0")), frozenset(("c2", "c1"))]
    world.blocked.update(pairs)
    world.run(20.0)
    world.blocked.clear()
    world.run(30.0)
    scenario.outages = ((14.0, 20.0, "c2"),)
    return scenario


def killed_leader():
    scenario = build({"m": Quota(120, 120)}, FAULT_LIMIT)
    world = scenario.world
    world.load("m", 80, list(world.leaves), 30.0, 6.0)
    world.run(14.0)
    homeless = [n for n, x in world.leaves.items() if x.control == "c0"]
    world.kill_site("c0")
    world.run(14.3)
    for index, name in enumerate(homeless):
        world.move(name, f"c{1 + index % 2}")
    world.run(15.0)
    world.elect("c1")
    world.run(30.0)
    scenario.outages = ((14.0, 15.0, None),)
    return scenario


def restarted_nodes():
    scenario = build({"m": Quota(120, 120)}, FAULT_LIMIT)
    world = scenario.world
    world.load("m", 80, list(world.leaves), 30.0, 6.0)
    world.run(14.0)
    for name, leaf in tuple(world.leaves.items()):
        control = leaf.control
        world.kill_leaf(name)
        world.start_leaf(name, control)
    world.run(30.0)
    return scenario


def lowered_quota():
    scenario = build({"m": Quota(120, 120)}, FAULT_LIMIT)
    world = scenario.world
    world.load("m", 80, list(world.leaves), 30.0, 6.0)
    world.run(16.0)
    world.change_quota("m", Quota(20, 20))
    world.run(30.0)
    scenario.changes.append((16.0, "m", Quota(20, 20)))
    return scenario


SCENARIOS = (
    small_tenants,
    middle_tenant,
    hot_tenant,
    moving_clients,
    isolated_data_centre,
    killed_leader,
    restarted_nodes,
    lowered_quota,
)


def missing(world, within, admitted):
    """Return the share of a tenant's due admissions that are missing.

    Above the quota, ways may differ in which requests they admit, so
    the numbers are compared, by tenant.
    """

    def count(indexes):
        return Counter(world.arrivals[index][2] for index in indexes)

    due, got = count(within), count(admitted)
    short = sum(max(0, due[name] - got[name]) for name in due)
    return short / len(within)


@pytest.mark.parametrize("make", SCENARIOS, ids=lambda one: one.__name__)
def test_leases_beside_other_ways(make):
    """Guards against rejections within the quota and against excess."""
    scenario = make()
    world = scenario.world
    homes = {name: leaf.control for name, leaf in world.leaves.items()}
    ways = {
        "fixed shares": FixedShares(NODES),
        "one owner": OneOwner(scenario.outages, homes),
        "no limit": NoLimit(),
    }
    within, _ = play(
        Central(scenario.quotas), world, scenario.quotas, scenario.quota_at
    )
    lost = missing(world, within, world.admitted_indexes)
    worst = max(0.0, -min(c.worst for c in world.checks.values()))
    row = [
        f"{make.__name__}: {len(world.arrivals)} requests",
        f"{len(within)} within the quota",
        f"leases reject {lost:.1%}, exceed by {worst:.0f}",
    ]
    for name, way in ways.items():
        admitted, excess = play(way, world, scenario.quotas, scenario.quota_at)
        part = missing(world, within, admitted)
        row.append(f"{name} {part:.1%}, exceed by {excess:.0f}")
    _log.info("%s", "; ".join(row))
    assert worst == pytest.approx(0.0, abs=1e-3)
    assert len(world.admitted_indexes) >= HOT_SHARE * len(within)
    assert lost <= scenario.limit

"""Nodes and control instances on a virtual clock, with faults.

Test support: messages take a while, are lost in partitions, and arrive
out of order. Admissions are checked against the quota as they happen.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from itertools import count
from random import Random

from quota_load import Traffic
from window_check import WindowCheck

from rhubarbhollow_quota.allocator import Allocator
from rhubarbhollow_quota.branch import QuotaBranch
from rhubarbhollow_quota.division import is_split
from rhubarbhollow_quota.gate import QuotaGate
from rhubarbhollow_quota.quota import Quota
from rhubarbhollow_quota.root import RootCapacity

LEADER_LEASE = 0.5


@dataclass
class Site:
    """One control instance, and the leader's part while it leads."""

    name: str
    incarnation: int
    branch: QuotaBranch
    is_alive: bool = True
    root: Allocator | None = None
    root_source: RootCapacity | None = None
    root_until: float = float("inf")
    quotas: dict = field(default_factory=dict)


@dataclass
class Leaf:
    """One node; ``control`` is the name of its parent."""

    name: str
    incarnation: int
    gate: QuotaGate
    control: str | None
    is_alive: bool = True
    quotas: dict = field(default_factory=dict)
    waiters: dict = field(default_factory=dict)


class World(Traffic):
    def __init__(
        self,
        quotas,
        seed=1,
        controls=3,
        nodes=4,
        tick=0.01,
        local_delay=0.0005,
        remote_delay=0.001,
        jitter=0.0,
        loss=0.0,
        strict=True,
    ):
        self.random = Random(seed)
        self.now = 0.0
        self.tick = tick
        self.local_delay = local_delay
        self.remote_delay = remote_delay
        self.jitter = jitter
        self.loss = loss
        self.strict = strict
        self.events = []
        self.sequence = count()
        self.incarnations = count(1)
        self.quotas = dict(quotas)
        self.blocked = set()
        self.term = 0
        self.changed = set()
        self.leader = None
        self.checks = {
            name: WindowCheck(quota, 0.0) for name, quota in quotas.items()
        }
        self.offered = dict.fromkeys(quotas, 0)
        self.admitted = dict.fromkeys(quotas, 0)
        self.rejected = dict.fromkeys(quotas, 0)
        self.unconfirmed = dict.fromkeys(quotas, 0)
        self.waits = []
        self.arrivals = []
        self.admitted_indexes = set()
        self.messages = 0
        self.remote_messages = 0
        self.remote_shares = 0
        self.sites = {}
        self.leaves = {}
        for index in range(controls):
            self.start_site(f"c{index}")
        for index in range(nodes):
            self.start_leaf(f"n{index}", f"c{index % controls}")
        self.elect("c0", is_first=True)
        self.at(0.0, self._tick)

    def start_site(self, name):
        incarnation = next(self.incarnations)
        site = Site(name, incarnation, QuotaBranch(name, incarnation))
        self.sites[name] = site
        self._give_site(site, self.quotas)
        site.branch.reporter.restart(self.term)

    def start_leaf(self, name, control):
        incarnation = next(self.incarnations)
        leaf = Leaf(name, incarnation, QuotaGate(name, incarnation), control)
        self.leaves[name] = leaf
        self._give_leaf(leaf, self.quotas)
        leaf.gate.set_connected(control is not None)

    def kill_site(self, name):
        self.sites[name].is_alive = False
        self.sites[name].root = None
        for leaf in self.leaves.values():
            if leaf.control == name:
                self.move(leaf.name, None)
        if self.leader == name:
            self.leader = None

    def kill_leaf(self, name):
        leaf = self.leaves[name]
        leaf.is_alive = False
        leaf.waiters.clear()

    def move(self, name, control):
        leaf = self.leaves[name]
        if not leaf.is_alive:
            return
        leaf.control = control
        leaf.gate.set_connected(control is not None)

    def depose(self):
        """Let the leader's lease run out."""
        if self.leader is not None:
            site = self.sites[self.leader]
            site.root_until = self.now + LEADER_LEASE
            self.leader = None
            return LEADER_LEASE
        return 0.0

    def elect(self, name, *, is_first=False):
        for site in self.sites.values():
            # A new leader is elected after the lease of the old one.
            if site.root is not None and self.now < site.root_until:
                return
        self.term += 1
        self.leader = name
        site = self.sites[name]
        known = () if is_first else tuple(self.quotas)
        unsplit = [
            name
            for name, quota in self.quotas.items()
            if not is_split(quota) and name not in self.changed
        ]
        site.root_source = RootCapacity(
            site.quotas,
            known,
            self.now,
            () if is_first else unsplit,
            len(self.sites),
        )
        site.root = Allocator(
            "", self.term, site.root_source, has_leaves=False
        )
        site.root_until = float("inf")
        for other in self.sites.values():
            self.send(name, other.name, self._learn_term, other, self.term)

    def _learn_term(self, site, term):
        site.branch.reporter.restart(term)

    def change_quota(self, name, quota, spread=0.0):
        self.changed.add(name)
        self.quotas = {**self.quotas, name: quota}
        quotas = self.quotas
        for site in tuple(self.sites.values()):
            self.at(
                self.now + self.random.uniform(0, spread),
                self._give_site,
                site,
                quotas,
            )
        for leaf in tuple(self.leaves.values()):
            self.at(
                self.now + self.random.uniform(0, spread),
                self._give_leaf,
                leaf,
                quotas,
            )

    def _give_site(self, site, quotas):
        site.quotas = dict(quotas)
        site.branch.set_quotas(site.quotas)
        if site.root_source is not None:
            site.root_source.set_quotas(site.quotas)
        self._update_checks()

    def _give_leaf(self, leaf, quotas):
        leaf.quotas = dict(quotas)
        leaf.gate.set_quotas(leaf.quotas, self.now)
        self._update_checks()

    def _update_checks(self):
        for name, check in self.checks.items():
            known = [
                holder.quotas[name]
                for group in (self.sites, self.leaves)
                for holder in group.values()
                if holder.is_alive and name in holder.quotas
            ]
            if known:
                check.change(
                    Quota(
                        max(q.rate for q in known), max(q.burst for q in known)
                    ),
                    self.now,
                )

    def at(self, time, call, *arguments):
        heapq.heappush(
            self.events, (time, next(self.sequence), call, arguments)
        )

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)
        self.now = until

    def is_blocked(self, one, other):
        return frozenset((one, other)) in self.blocked

    def send(self, sender, receiver, call, *arguments):
        if sender == receiver:
            self.at(self.now, call, *arguments)
            return
        self.messages += 1
        is_lost = self.random.random() < self.loss
        if is_lost or self.is_blocked(sender, receiver):
            return
        is_remote = sender in self.sites and receiver in self.sites
        self.remote_messages += is_remote
        delay = self.remote_delay if is_remote else self.local_delay
        delay += self.random.uniform(0, self.jitter)
        self.at(self.now + delay, call, *arguments)

    def _tick(self):
        for site in self.sites.values():
            if site.root is not None:
                site.root.fill(site.quotas, self.now)
                for name, grant in site.root.serve_waiting(self.now):
                    self._root_grant(site, self.sites[name], grant)
            for name, grant in site.branch.allocator.serve_waiting(self.now):
                self._answer(site, name, grant)
            self._poll_site(site)
        for leaf in self.leaves.values():
            self._poll_leaf(leaf)
        self.at(self.now + self.tick, self._tick)

    def _poll_site(self, site):
        if not site.is_alive or self.leader is None:
            return
        report = site.branch.poll(self.now)
        if report is not None:
            self.remote_shares += len(report.claims)
            leader = self.leader
            self.send(
                site.name,
                leader,
                self._root_report,
                site,
                self.sites[leader],
                report,
            )

    def _root_report(self, site, leader, report):
        if not leader.is_alive or leader.root is None:
            return
        if self.now >= leader.root_until:
            leader.root = None
            return
        grant = leader.root.handle(report, self.now)
        if grant is not None:
            self._root_grant(leader, site, grant)

    def _root_grant(self, leader, site, grant):
        if self.now >= leader.root_until:
            return
        self.remote_shares += len(grant.shares)
        self.send(leader.name, site.name, self._site_grant, site, grant)

    def _site_grant(self, site, grant):
        if not site.is_alive:
            return
        for name, answer in site.branch.handle_grant(grant, self.now):
            self._answer(site, name, answer)

    def _answer(self, site, name, grant):
        leaf = self.leaves.get(name)
        if leaf is not None:
            self.send(site.name, name, self._leaf_grant, leaf, site, grant)

    def _poll_leaf(self, leaf):
        if not leaf.is_alive or leaf.control is None:
            return
        report = leaf.gate.poll(self.now)
        if report is not None:
            site = self.sites[leaf.control]
            self.send(leaf.name, site.name, self._site_report, site, report)

    def _site_report(self, site, report):
        if not site.is_alive:
            return
        can_ask = self.leader is not None
        grant = site.branch.handle_report(report, self.now, can_ask=can_ask)
        if grant is not None:
            self._answer(site, report.child, grant)
        self._poll_site(site)

    def _leaf_grant(self, leaf, site, grant):
        # A node reads only the connection to its present source.
        if not leaf.is_alive or leaf.control != site.name:
            return
        for tenant in leaf.gate.handle_grant(grant, self.now):
            self._resume(leaf, tenant)

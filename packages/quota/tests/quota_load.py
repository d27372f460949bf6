"""Requests in a world of nodes, with their outcomes counted.

Test support.
"""

from __future__ import annotations

from window_check import QuotaExceededError

from rhubarbhollow_quota.verdict import Admitted, OverQuota, Wait

WAIT_SECONDS = 0.1


class Named:
    def __init__(self, name, rate, burst):
        self.name = name
        self.rate = rate
        self.burst = burst


class Traffic:
    """Offer requests to the nodes; mixed into ``World``."""

    def request(self, leaf_name, tenant):
        leaf = self.leaves[leaf_name]
        if not leaf.is_alive:
            return
        self.offered[tenant] += 1
        index = len(self.arrivals)
        self.arrivals.append((self.now, leaf_name, tenant))
        quota = leaf.quotas[tenant]
        named = Named(tenant, quota.rate, quota.burst)
        verdict = leaf.gate.admit(named, self.now)
        if isinstance(verdict, Wait):
            waiter = (named, self.now, index)
            leaf.waiters.setdefault(tenant, []).append(waiter)
            self.at(self.now + WAIT_SECONDS, self._give_up, leaf, waiter)
            self._poll_leaf(leaf)
            return
        self._count(tenant, verdict, index)

    def _resume(self, leaf, tenant):
        waiters = leaf.waiters.get(tenant, [])
        while waiters:
            named, began, index = waiters[0]
            verdict = leaf.gate.resume(named, self.now)
            if isinstance(verdict, Wait):
                return
            del waiters[0]
            self.waits.append(self.now - began)
            self._count(tenant, verdict, index)

    def _give_up(self, leaf, waiter):
        named = waiter[0]
        waiters = leaf.waiters.get(named.name, [])
        for index, one in enumerate(waiters):
            if one is waiter:
                del waiters[index]
                self.waits.append(WAIT_SECONDS)
                verdict = leaf.gate.give_up(named, self.now)
                self._count(named.name, verdict, waiter[2])
                return

    def _count(self, tenant, verdict, index):
        if isinstance(verdict, Admitted):
            self.admitted[tenant] += 1
            self.admitted_indexes.add(index)
            check = self.checks[tenant]
            check.admit(self.now)
            if self.strict and check.level < -1e-3:
                raise QuotaExceededError(
                    f"{tenant} exceeded by {-check.level} at {self.now}"
                )
        elif isinstance(verdict, OverQuota):
            self.rejected[tenant] += 1
        else:
            self.unconfirmed[tenant] += 1

    def load(self, tenant, rate, leaves, until, start=None):
        """Offer requests at random times to random leaves."""
        time = self.now if start is None else start
        while True:
            time += self.random.expovariate(rate)
            if time >= until:
                return
            self.at(time, self.request, self.random.choice(leaves), tenant)

"""Other ways to share a quota, played on the same arrivals.

Test support. Each way is a function from a request's time, node and
tenant to whether it is admitted.
"""

from __future__ import annotations

from window_check import WindowCheck

from rhubarbhollow_quota.quota import Quota


class Bucket:
    def __init__(self, level, now=0.0):
        self.level = level
        self.at = now

    def take(self, quota, now):
        gained = (now - self.at) * quota.rate
        self.level = min(quota.burst, self.level + gained)
        self.at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


class Central:
    """One bucket that every node reaches at any time: the bound."""

    def __init__(self, quotas):
        self._buckets = {n: Bucket(q.burst) for n, q in quotas.items()}

    def admit(self, now, leaf, tenant, quota):
        return self._buckets[tenant].take(quota, now)


class FixedShares:
    """Each node admits an equal part, whatever its demand."""

    def __init__(self, nodes):
        self._nodes = nodes
        self._buckets = {}

    def admit(self, now, leaf, tenant, quota):
        part = Quota(quota.rate / self._nodes, quota.burst / self._nodes)
        key = (leaf, tenant)
        if key not in self._buckets:
            self._buckets[key] = Bucket(part.burst, now)
        return self._buckets[key].take(part, now)


class NoLimit:
    """Admits everything."""

    def admit(self, now, leaf, tenant, quota):
        return True


class OneOwner:
    """One control instance decides on each request of a tenant.

    ``outages`` are the times at which nodes of a home cannot reach the
    owner; a new owner starts with an empty bucket.
    """

    def __init__(self, outages=(), homes=None):
        self._outages = outages
        self._homes = homes or {}
        self._buckets = {}

    def admit(self, now, leaf, tenant, quota):
        bucket = self._buckets.setdefault(tenant, Bucket(quota.burst))
        for start, end, home in self._outages:
            if start <= now < end and home in (None, self._homes.get(leaf)):
                return False
            if now >= end and bucket.at < end and home is None:
                bucket.level, bucket.at = 0.0, end
        return bucket.take(quota, now)


def play(way, world, quotas, quota_at):
    """Return which requests a way admits and its worst overshoot."""
    checks = {name: WindowCheck(quota, 0.0) for name, quota in quotas.items()}
    admitted = set()
    for index, (now, leaf, tenant) in enumerate(world.arrivals):
        quota = quota_at(now, tenant)
        checks[tenant].change(quota, now)
        if way.admit(now, leaf, tenant, quota):
            admitted.add(index)
            checks[tenant].admit(now)
    return admitted, max(0.0, -min(c.worst for c in checks.values()))

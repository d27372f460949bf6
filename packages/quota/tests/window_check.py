"""Checks every window of admissions against a quota."""

from __future__ import annotations


class QuotaExceededError(AssertionError):
    """More requests ran than the quota allows in some window."""


class WindowCheck:
    """Check every window at once by a bucket that starts full."""

    def __init__(self, quota, now):
        self.quota = quota
        self.level = quota.burst
        self.at = now
        self.worst = 0.0

    def change(self, quota, now):
        if quota != self.quota:
            self.quota = quota
            self.level = quota.burst
            self.at = now

    def admit(self, now):
        quota = self.quota
        gained = (now - self.at) * quota.rate
        self.level = min(quota.burst, self.level + gained) - 1.0
        self.at = now
        self.worst = min(self.worst, self.level)

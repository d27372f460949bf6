"""How far the admissions of a tenant may exceed its quota."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from rhubarbhollow_quota.quota import Quota

# Share of the tolerated excess that is used. The rest covers requests
# that are admitted in one window and reach an upstream in the next.
USED_SHARE: Final = 0.75
# Share of the quota's rate by which the enforced rate is raised, as a
# part of the tolerated share; all else goes to the burst, which lets
# more nodes hold tokens for requests that come unannounced.
RATE_PART: Final = 0.5


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """Describe what an operator accepts in exchange for availability.

    In each window of ``window_seconds`` a tenant may have ``overshoot``
    times its quota more admissions, and ``slack`` further ones. By
    default nothing above the quota is admitted.
    """

    window_seconds: float = 1.0
    overshoot: float = 0.0
    slack: float = 0.0

    def enforced(self, quota: Quota) -> Quota:
        """Return the quota to enforce in place of a tenant's own."""
        share = USED_SHARE * self.overshoot
        rate = quota.rate * RATE_PART * share
        whole = quota.rate * self.window_seconds + quota.burst
        excess = share * whole + USED_SHARE * self.slack
        burst = excess - rate * self.window_seconds
        return Quota(quota.rate + rate, quota.burst + burst)


NO_TOLERANCE: Final = QuotaTolerance()

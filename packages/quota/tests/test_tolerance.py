import pytest

from rhubarbhollow_quota.quota import Quota
from rhubarbhollow_quota.tolerance import NO_TOLERANCE, QuotaTolerance

TOLERANCE = QuotaTolerance(5.0, 0.1, 20.0)


def test_a_quota_is_enforced_as_it_is_by_default():
    assert NO_TOLERANCE.enforced(Quota(5.0, 5.0)) == Quota(5.0, 5.0)


@pytest.mark.parametrize("quota", [Quota(5, 5), Quota(224, 224), Quota(9, 1)])
def test_the_enforced_quota_stays_within_the_tolerance(quota):
    """Guard against admissions above what the operator accepts."""
    enforced = TOLERANCE.enforced(quota)
    admitted = enforced.rate * 5 + enforced.burst
    assert quota.rate * 5 + quota.burst < admitted
    assert admitted < (quota.rate * 5 + quota.burst) * 1.1 + 20

from rhubarbhollow_quota.account import Account
from rhubarbhollow_quota.quota import Quota


def test_asking_for_the_tokens_spends_none():
    """Guards against explanations that use up a quota."""
    account = Account(Quota(5.0, 5.0))
    assert account.tokens(1.0) == 0.0
    assert account.admitted == 0

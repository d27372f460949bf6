"""What is learned from connections that broke after a rest."""

from rhubarbhollow_calls.reuse_limit import LIMIT_SECONDS, ReuseLimit


def test_connections_that_rested_as_long_are_not_used_again():
    """Guard against a request on each connection that was dropped."""
    limit = ReuseLimit()
    assert limit.may_reuse(100.0, 5.0)
    limit.record_break(0.6, 0.001, 5.0)
    assert not limit.may_reuse(0.6, 5.0)
    assert not limit.may_reuse(0.31, 6.0)
    assert limit.may_reuse(0.29, 6.0)


def test_the_shortest_rest_counts_until_the_limit_expires():
    """Guard against a limit that a later break makes too long."""
    limit = ReuseLimit()
    limit.record_break(0.4, 0.001, 5.0)
    limit.record_break(2.0, 0.001, 7.0)
    assert not limit.may_reuse(0.25, 8.0)
    assert not limit.may_reuse(0.25, 6.9 + LIMIT_SECONDS)
    assert limit.may_reuse(0.25, 7.0 + LIMIT_SECONDS)
    limit.record_break(2.0, 0.001, 20.0)
    assert limit.may_reuse(0.9, 20.0)


def test_a_break_while_the_request_runs_says_nothing_about_rest():
    """Guard against new connections after each lost answer."""
    limit = ReuseLimit()
    limit.record_break(0.6, 0.05, 5.0)
    limit.record_break(0.05, 0.001, 5.0)
    assert limit.may_reuse(3.0, 5.0)

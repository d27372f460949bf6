"""Tests of a follower's staleness bounds."""

from __future__ import annotations

import pytest

from rhubarbhollow_replication.append import AppendRequest
from rhubarbhollow_replication.freshness import MAX_OPEN_ROUNDS, Freshness

LEASE_SECONDS = 1.0


def request(number, acked, confirmed, commit=3, term=1):
    rest = (number, acked, confirmed, "b1")
    return AppendRequest(term, "b", 0, 0, (), commit, *rest)


def follow(rows, *, is_current=True, term=1):
    """Process rows of time, round, echoed and confirmed round."""
    freshness = Freshness(LEASE_SECONDS)
    for now, number, acked, confirmed in rows:
        freshness.record_reply(term, number, now)
        message = request(number, acked, confirmed, term=term)
        freshness.record_request(message, is_current=is_current)
    return freshness


@pytest.mark.parametrize(
    ("rows", "confirmed_at"),
    [
        # A message proves nothing until a quorum has answered it.
        ([(0.0, 1, 0, 0), (0.1, 2, 1, 0)], None),
        # Round 3 confirms round 2, which echoed the reply to round 1.
        ([(0.0, 1, 0, 0), (0.1, 2, 1, 1), (0.2, 3, 2, 2)], 0.0),
        (
            [(0.0, 1, 0, 0), (0.1, 2, 1, 1), (0.2, 3, 2, 2), (0.3, 4, 3, 3)],
            0.1,
        ),
        # A partitioned leader keeps sending without a quorum.
        ([(0.0, 1, 0, 0), (0.1, 2, 1, 0), (9.0, 3, 2, 0)], None),
        # A delayed message proves only the time of what it echoes.
        ([(0.0, 1, 0, 0), (9.0, 2, 1, 1), (9.1, 3, 1, 2)], 0.0),
        # A duplicate does not change the time of the first reply.
        (
            [(0.0, 1, 0, 0), (8.0, 1, 0, 0), (9.0, 2, 1, 1), (9.1, 3, 2, 2)],
            0.0,
        ),
        # Rounds that this follower did not receive prove nothing.
        ([(0.0, 5, 4, 4), (0.1, 6, 4, 5)], None),
    ],
)
def test_confirmation_requires_an_echo_and_a_quorum(rows, confirmed_at):
    """Check when a follower knows that its state is recent.

    A bound that is too recent would pass stale state off as fresh.
    """
    freshness = follow(rows)
    assert freshness.confirmed_at(3) == confirmed_at
    assert freshness.confirmed_at(2) is None
    if confirmed_at is not None:
        assert freshness.is_fresh(3, confirmed_at + LEASE_SECONDS * 0.99)
        assert not freshness.is_fresh(3, confirmed_at + LEASE_SECONDS)


def test_no_confirmation_without_a_commit_in_the_current_term():
    """Check that nothing is confirmed without a commit in the term.

    A new leader may not know of all commits of earlier terms, and a
    confirmation must not carry over to the next term.
    """
    rows = [(0.0, 1, 0, 0), (0.1, 2, 1, 1), (0.2, 3, 2, 2)]
    assert follow(rows, is_current=False).confirmed_at(3) is None
    freshness = follow(rows)
    freshness.record_reply(2, 1, 0.3)
    assert freshness.confirmed_at(3) is None


def test_number_of_tracked_rounds_is_bounded():
    """Check that unconfirmed rounds do not use unbounded memory."""
    count = 3 * MAX_OPEN_ROUNDS
    freshness = follow([(n * 0.1, n, n - 1, 0) for n in range(1, count)])
    assert len(freshness._replied_at) == MAX_OPEN_ROUNDS
    assert len(freshness._rounds) == MAX_OPEN_ROUNDS

"""Claims of a follower to be recent, message by message."""

from __future__ import annotations

import pytest

from rhubarbhollow_replication.append import AppendRequest
from rhubarbhollow_replication.freshness import MAX_OPEN_ROUNDS, Freshness

LEASE_SECONDS = 1.0


def request(number, acked, confirmed, commit=3, term=1):
    rest = (number, acked, confirmed, "b1")
    return AppendRequest(term, "b", 0, 0, (), commit, *rest)


def follow(rows, *, is_current=True, term=1):
    """Feed rows of time, round, echoed round and confirmed round."""
    freshness = Freshness(LEASE_SECONDS)
    for now, number, acked, confirmed in rows:
        freshness.record_reply(term, number, now)
        message = request(number, acked, confirmed, term=term)
        freshness.record_request(message, is_current=is_current)
    return freshness


@pytest.mark.parametrize(
    ("rows", "confirmed_at"),
    [
        # Hearing a leader proves nothing until a quorum answered it.
        ([(0.0, 1, 0, 0), (0.1, 2, 1, 0)], None),
        # The third round confirms the second, which echoed the first.
        ([(0.0, 1, 0, 0), (0.1, 2, 1, 1), (0.2, 3, 2, 2)], 0.0),
        (
            [(0.0, 1, 0, 0), (0.1, 2, 1, 1), (0.2, 3, 2, 2), (0.3, 4, 3, 3)],
            0.1,
        ),
        # A cut-off leader goes on sending without a quorum.
        ([(0.0, 1, 0, 0), (0.1, 2, 1, 0), (9.0, 3, 2, 0)], None),
        # A message that was long on its way proves only its own age.
        ([(0.0, 1, 0, 0), (9.0, 2, 1, 1), (9.1, 3, 1, 2)], 0.0),
        # A repeat does not make the first answer look later.
        (
            [(0.0, 1, 0, 0), (8.0, 1, 0, 0), (9.0, 2, 1, 1), (9.1, 3, 2, 2)],
            0.0,
        ),
        # Rounds that this follower never heard prove nothing.
        ([(0.0, 5, 4, 4), (0.1, 6, 4, 5)], None),
    ],
)
def test_the_claim_rests_on_an_echo_and_a_quorum(rows, confirmed_at):
    freshness = follow(rows)
    assert freshness.confirmed_at(3) == confirmed_at
    assert freshness.confirmed_at(2) is None
    if confirmed_at is not None:
        assert freshness.is_fresh(3, confirmed_at + LEASE_SECONDS * 0.99)
        assert not freshness.is_fresh(3, confirmed_at + LEASE_SECONDS)


def test_nothing_is_claimed_before_the_term_has_a_commit_or_after_it():
    rows = [(0.0, 1, 0, 0), (0.1, 2, 1, 1), (0.2, 3, 2, 2)]
    assert follow(rows, is_current=False).confirmed_at(3) is None
    freshness = follow(rows)
    freshness.record_reply(2, 1, 0.3)
    assert freshness.confirmed_at(3) is None


def test_the_memory_of_rounds_is_bounded():
    count = 3 * MAX_OPEN_ROUNDS
    freshness = follow([(n * 0.1, n, n - 1, 0) for n in range(1, count)])
    assert len(freshness._replied_at) == MAX_OPEN_ROUNDS
    assert len(freshness._rounds) == MAX_OPEN_ROUNDS

"""Tests of the hand-over of votes at a planned stop."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest

from rhubarbhollow_daemon.vote_handover import hand_over_votes
from rhubarbhollow_wire.clock import ManualClock

LIMIT = timedelta(seconds=2)


class FakeVoter:
    """A voter that is replaced after a number of polls."""

    def __init__(self, polls: int) -> None:
        self.polls = polls
        self.is_leaving = False

    @property
    def awaits_successor(self) -> bool:
        assert self.is_leaving
        self.polls -= 1
        return self.polls >= 0

    def begin_leaving(self) -> None:
        self.is_leaving = True


@pytest.mark.parametrize(
    ("polls", "seconds"), [((0, 0), 0.0), ((5, 20), 0.5), ((10**6, 0), 2.0)]
)
def test_a_stop_waits_for_all_logs_and_not_longer_than_its_limit(
    polls: tuple[int, int], seconds: float
) -> None:
    """Guard against a stop that a missing successor holds up."""
    clock = ManualClock()

    async def sleep(pause: float) -> None:
        clock.advance(pause)

    async def run() -> None:
        voters = [FakeVoter(count) for count in polls]
        await hand_over_votes(voters, LIMIT, clock, sleep)

    started_at = clock.monotonic()
    anyio.run(run)
    assert clock.monotonic() - started_at == pytest.approx(seconds, abs=0.03)

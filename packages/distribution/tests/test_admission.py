"""Rate limiting and queueing of connecting nodes."""

from __future__ import annotations

import random

import pytest

from rhubarbhollow_distribution.admission import (
    AdmissionQueue,
    Admitted,
    Queued,
)
from rhubarbhollow_distribution.redirect import Redirect, RedirectReason
from rhubarbhollow_wire.clock import ManualClock


def queue_of(clock, rate=10.0, burst=2, limit=3):
    return AdmissionQueue(
        rate=rate,
        burst=burst,
        limit=limit,
        clock=clock,
        random=random.Random(1),
    )


def test_burst_then_queue_then_redirect():
    clock = ManualClock()
    queue = queue_of(clock)
    answers = [queue.offer(node) for node in "abcdef"]
    assert answers[:5] == [
        *(Admitted(), Admitted()),
        *(Queued(0), Queued(1), Queued(2)),
    ]
    assert isinstance(answers[5], Redirect)
    assert answers[5].reason == RedirectReason.BUSY
    assert 300 <= answers[5].retry_after_ms <= 600
    assert queue.offer("d") == Queued(1)
    queue.withdraw("d")
    assert queue.waiting_count == 2
    assert queue.admit_due() == ()
    clock.advance(queue.next_due() - clock.monotonic())
    assert queue.admit_due() == ("c",)
    clock.advance(5)
    assert queue.admit_due() == ("e",)
    assert queue.next_due() is None


def test_new_node_does_not_overtake_queued_nodes():
    clock = ManualClock()
    queue = queue_of(clock, burst=1)
    queue.offer("a")
    queue.offer("b")
    clock.advance(0.1)
    assert queue.offer("c") == Queued(1)
    assert queue.admit_due() == ("b",)


@pytest.mark.parametrize("seed", range(5))
def test_simultaneous_connects_are_all_admitted_at_the_rate(seed):
    """Connect all nodes at once; redirected ones return later.

    Guards against admission above the rate, a queue above its limit and
    nodes that are never admitted.
    """
    rng = random.Random(seed)
    clock = ManualClock()
    queue = AdmissionQueue(
        rate=100.0, burst=20, limit=50, clock=clock, random=rng
    )
    returns = {f"node-{number}": 0.0 for number in range(400)}
    admitted: list[float] = []
    while returns or queue.waiting_count:
        now = clock.monotonic()
        admitted.extend(now for _ in queue.admit_due())
        for node in [node for node, at in returns.items() if at <= now]:
            match queue.offer(node):
                case Redirect(retry_after_ms=delay):
                    returns[node] = now + delay / 1000
                case Admitted():
                    del returns[node]
                    admitted.append(now)
                case Queued():
                    del returns[node]
        assert queue.waiting_count <= 50
        assert len(admitted) <= 20 + 100 * now + 1e-6
        clock.advance(0.01)
    assert len(admitted) == 400
    assert clock.monotonic() < 8

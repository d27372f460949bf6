"""A queue that no longer drains, and the load that it answers."""

import heapq
import math
from random import Random

import pytest

from rhubarbhollow_calls import standing_queue
from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.slot_admission import Admitted, Queued
from rhubarbhollow_calls.slot_gate import SlotGate
from rhubarbhollow_calls.slot_ticket import Ticket
from rhubarbhollow_calls.standing_queue import (
    MIN_WAITING,
    STANDING_OBJECTIVES,
    STANDING_WAIT_SHARE,
    StandingQueue,
)
from rhubarbhollow_wire.clock import ManualClock

OBJECTIVE = 0.2
DEADLINE = 0.5
MEAN = 0.06
SLOTS = 12
SECONDS = 6.0


def observed(*lengths_at):
    queue = StandingQueue()
    for waiting, now in lengths_at:
        queue.observe(waiting, now)
    return queue


LONG_AGO = -1 - STANDING_OBJECTIVES * OBJECTIVE
LONG_WAIT = 2 * STANDING_WAIT_SHARE * OBJECTIVE


@pytest.mark.parametrize(
    ("history", "waiting", "wait", "is_too_long"),
    [
        (((5, LONG_AGO),), 5, LONG_WAIT, True),
        (((5, LONG_AGO),), 5, LONG_WAIT / 3, False),
        (((5, LONG_AGO),), MIN_WAITING - 1, LONG_WAIT, False),
        (((5, -OBJECTIVE),), 5, LONG_WAIT, False),
        (((5, LONG_AGO), (0, -OBJECTIVE), (5, 0)), 5, LONG_WAIT, False),
        ((), 5, LONG_WAIT, False),
    ],
    ids=["stands", "short", "few", "burst", "drained", "unknown"],
)
def test_a_long_wait_is_refused_only_in_a_queue_that_stands(
    history, waiting, wait, is_too_long
):
    queue = observed(*history)
    assert queue.is_too_long(waiting, wait, OBJECTIVE, 0.0) is is_too_long


class Load:
    """Lookups of one upstream at a rate, with times that vary."""

    def __init__(self, calls_per_second, seed):
        random = Random(seed)
        self.arrivals = []
        now = 0.0
        while now < SECONDS:
            now += random.expovariate(calls_per_second)
            self.arrivals.append((now, random.gammavariate(4, MEAN / 4)))

    def play(self):
        """Return how many calls were in time, late and refused."""
        clock = ManualClock()
        gate = SlotGate(SLOTS, 512, clock)
        ends, counts = [], [0, 0, 0]

        def start(ticket):
            begun, seconds = self.arrivals[ticket.call_id]
            end = clock.monotonic() + seconds
            counts[end - begun > OBJECTIVE] += 1
            heapq.heappush(ends, end)

        def run_until(moment):
            while ends and ends[0] <= moment:
                clock.advance(heapq.heappop(ends) - clock.monotonic())
                ticket = gate.release()
                while ticket is not None:
                    start(ticket)
                    ticket = None
                gone = (*gate.take_overdue(), *gate.take_expired())
                counts[2] += len(gone)
            if moment < math.inf:
                clock.advance(moment - clock.monotonic())

        for call_id, (begun, _) in enumerate(self.arrivals):
            run_until(begun)
            ticket = Ticket(
                CallPriority.BULK,
                begun + DEADLINE,
                call_id,
                rank=2,
                objective_ms=round(OBJECTIVE * 1000),
                service_seconds=MEAN,
                start_by=begun + OBJECTIVE - 1.25 * MEAN,
            )
            match gate.admit(ticket):
                case Admitted():
                    start(ticket)
                case Queued():
                    pass
                case _:
                    counts[2] += 1
        run_until(math.inf)
        return tuple(counts)


@pytest.mark.parametrize("seed", range(3))
def test_a_lasting_overload_ends_fewer_calls_late(monkeypatch, seed):
    """Compare with a queue that is always as long as objectives allow.

    The load: for six seconds a fifth more lookups than an upstream can
    serve. As many are served, and fewer of them late.
    """
    load = Load(1.2 * SLOTS / MEAN, seed)
    in_time, late, refused = load.play()
    monkeypatch.setattr(standing_queue, "STANDING_WAIT_SHARE", math.inf)
    naive_in_time, naive_late, naive_refused = load.play()
    assert in_time > naive_in_time
    assert late < naive_late / 2
    assert refused < naive_refused * 1.1


def test_a_burst_waits_as_before(monkeypatch):
    """A burst shorter than three objectives waits, as it may."""
    load = Load(1.2 * SLOTS / MEAN, 1)
    load.arrivals = [one for one in load.arrivals if one[0] < 0.5]
    counts = load.play()
    monkeypatch.setattr(standing_queue, "STANDING_WAIT_SHARE", math.inf)
    assert load.play() == counts

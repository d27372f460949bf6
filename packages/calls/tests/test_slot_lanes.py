"""The slot gate under more load than its slots can serve.

The load is that of one upstream on a busy day: interactive orders,
short bulk lookups that others wait for, and long bulk histories.
"""

import heapq
from collections import Counter
from random import Random

import pytest

from rhubarbhollow_calls.backlog import NO_BACKLOG
from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.slot_admission import (
    Admitted,
    Queued,
    Refused,
    SlotRefusal,
)
from rhubarbhollow_calls.slot_gate import SlotGate
from rhubarbhollow_calls.slot_ticket import Ticket
from rhubarbhollow_wire.clock import ManualClock

SLOTS = 9
# By route: rank, latency objective in ms, service time in seconds.
KINDS = {
    "order": (0, 300, 0.11),
    "lookup": (2, 150, 0.04),
    "history": (2, 2000, 0.64),
}


def ticket(kind, call_id, now, deadline_seconds=5.0):
    rank, objective_ms, seconds = KINDS[kind]
    return Ticket(
        CallPriority.BULK if rank >= 2 else CallPriority.INTERACTIVE,
        now + deadline_seconds,
        call_id,
        rank=rank,
        objective_ms=objective_ms,
        service_seconds=seconds,
        start_by=now + objective_ms / 1000 - seconds,
    )


def fill(gate, clock, kind="history"):
    for call_id in range(SLOTS):
        admitted = gate.admit(ticket(kind, call_id, clock.monotonic()))
        assert isinstance(admitted, Admitted)


def test_call_that_cannot_be_in_time_is_rejected_at_once():
    """Check that a call that would be late is refused at once.

    It can then still be sent to another upstream.
    """
    clock = ManualClock()
    gate = SlotGate(SLOTS, 64, clock)
    fill(gate, clock)
    outcomes = [
        gate.admit(ticket("history", 100 + n, clock.monotonic()))
        for n in range(64)
    ]
    refused = [one for one in outcomes if isinstance(one, Refused)]
    assert refused
    assert {one.reason for one in refused} == {SlotRefusal.TOO_LATE}
    # Tickets that wait can start within 1.36 s, at 0.64 s a call and 9
    # slots.
    assert gate.waiting <= (2.0 - 0.64) * SLOTS / 0.64 + 1


def test_short_calls_do_not_wait_for_long_ones():
    clock = ManualClock()
    gate = SlotGate(SLOTS, 64, clock)
    fill(gate, clock)
    for n, kind in enumerate(("history", "history", "lookup", "order")):
        gate.admit(ticket(kind, 200 + n, clock.monotonic()))
    order = [gate.release().call_id for _ in range(4)]
    assert order == [203, 202, 200, 201]


def test_overdue_call_is_skipped_while_others_wait():
    clock = ManualClock()
    gate = SlotGate(SLOTS, 64, clock)
    fill(gate, clock)
    gate.admit(ticket("lookup", 300, clock.monotonic()))
    clock.advance(0.2)
    gate.admit(ticket("history", 301, clock.monotonic()))
    assert gate.release().call_id == 301
    assert [one.call_id for one in gate.take_overdue()] == [300]


def test_overdue_call_is_served_if_no_other_waits():
    clock = ManualClock()
    gate = SlotGate(SLOTS, 64, clock)
    fill(gate, clock)
    gate.admit(ticket("lookup", 300, clock.monotonic()))
    clock.advance(0.2)
    assert gate.release().call_id == 300


def simulate(rates, seconds, seed, *, is_naive=False):
    """Simulate calls; return the share answered in time, by route.

    ``rates`` are calls per second. The naive tickets have neither rank
    nor objective, so that the gate is a FIFO queue with deadlines.
    """
    random = Random(seed)
    clock = ManualClock()
    gate = SlotGate(SLOTS, 64, clock)
    events = [
        (random.expovariate(rate), index, "arrive", kind)
        for index, (kind, rate) in enumerate(rates.items())
    ]
    heapq.heapify(events)
    running = {}
    arrived, in_time = Counter(), Counter()
    serial = len(events)
    while events:
        at, _, what, kind = heapq.heappop(events)
        if at > seconds:
            break
        clock.advance(at - clock.monotonic())
        serial += 1
        if what == "arrive":
            arrived[kind] += 1
            one = ticket(kind, serial, at)
            if is_naive:
                one = Ticket(CallPriority.BULK, one.deadline, serial)
            running[serial] = (kind, at)
            started = one if isinstance(gate.admit(one), Admitted) else None
            gap = random.expovariate(rates[kind])
            heapq.heappush(events, (at + gap, serial, "arrive", kind))
        else:
            started = gate.release()
        gate.take_overdue()
        if started is None:
            continue
        kind, since = running.pop(started.call_id)
        end = at + KINDS[kind][2] * random.expovariate(1)
        in_time[kind] += end - since <= KINDS[kind][1] / 1000
        heapq.heappush(events, (end, serial, "end", kind))
    return {kind: in_time[kind] / arrived[kind] for kind in arrived}


@pytest.mark.parametrize("seed", range(3))
def test_overload_delays_the_long_calls(seed):
    """In a FIFO queue, short calls would miss their objectives."""
    # The load is 2.2 + 3.2 + 9.0 slots of work for 9 slots.
    rates = {"order": 20, "lookup": 80, "history": 14}
    share = simulate(rates, 200, seed)
    naive = simulate(rates, 200, seed, is_naive=True)
    assert share["order"] > 2 * naive["order"]
    assert share["lookup"] > 2 * naive["lookup"]
    # Histories still get slots that the other routes leave free.
    assert share["history"] >= 0.25


def test_long_calls_are_not_starved_by_an_interactive_flood():
    share = simulate({"order": 200, "history": 4}, 100, 1)
    assert share["history"] > 0.05


def test_backlog_is_the_service_time_per_slot():
    clock = ManualClock()
    gate = SlotGate(SLOTS, 64, clock)
    assert gate.backlog == NO_BACKLOG
    fill(gate, clock)
    before = gate.backlog
    queued = gate.admit(ticket("history", 50, clock.monotonic()))
    assert isinstance(queued, Queued)
    added = gate.backlog.bulk_seconds - before.bulk_seconds
    assert added == pytest.approx(0.64 / SLOTS)
    # Interactive calls overtake it, so they do not wait for it.
    assert gate.backlog.interactive_seconds == before.interactive_seconds


def test_interactive_backlog_counts_queued_interactive_calls():
    clock = ManualClock()
    gate = SlotGate(SLOTS, 64, clock)
    fill(gate, clock)
    before = gate.backlog.interactive_seconds
    gate.admit(ticket("order", 50, clock.monotonic()))
    added = gate.backlog.interactive_seconds - before
    assert added == pytest.approx(0.11 / SLOTS)


def test_bulk_admission_expects_to_be_overtaken_by_later_calls():
    """A bulk call waits longer than the queue in front of it takes.

    Orders ask for 0.6 of the slot time of the last second, so fewer
    bulk calls are admitted to the queue.
    """
    waiting = {}
    for orders in (0, 40):
        clock = ManualClock()
        gate = SlotGate(SLOTS, 64, clock)
        for n in range(orders):
            gate.admit(ticket("order", 1000 + n, clock.monotonic()))
            if gate.in_use == SLOTS:
                gate.release()
        while gate.in_use:
            gate.release()
        fill(gate, clock, "history" if not orders else "order")
        for n in range(64):
            gate.admit(ticket("history", 100 + n, clock.monotonic()))
        waiting[orders] = gate.waiting
    assert 0 < waiting[40] < waiting[0] / 2

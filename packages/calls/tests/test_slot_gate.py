import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from rhubarbhollow_calls import slot_gate
from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.slot_admission import (
    Admitted,
    Queued,
    Refused,
    SlotRefusal,
)
from rhubarbhollow_calls.slot_gate import (
    INTERACTIVE_RUN_LIMIT,
    RepeatedTicket,
    SlotGate,
    UnheldSlot,
)
from rhubarbhollow_calls.slot_ticket import Ticket
from rhubarbhollow_wire.clock import ManualClock

INTERACTIVE, BULK = CallPriority.INTERACTIVE, CallPriority.BULK
QUEUE_LIMIT = 4
BULK_LIMIT = 3
# Replaces INTERACTIVE_RUN_LIMIT; low enough for GateMachine to reach.
RUN_LIMIT = 2


class NaiveGate:
    """Reference model that scans one list for the next ticket."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.held = 0
        self.queue: list[Ticket] = []
        self.run = 0
        self.expired: list[Ticket] = []

    def next_ticket(self, now: float) -> Ticket | None:
        while self.held < self.slots and self.queue:
            bulk = [t for t in self.queue if t.priority is BULK]
            fast = [t for t in self.queue if t.priority is INTERACTIVE]
            is_bulk = bulk and (not fast or self.run >= RUN_LIMIT)
            ticket = bulk[0] if is_bulk else fast[0]
            self.queue.remove(ticket)
            if ticket.deadline <= now:
                self.expired.append(ticket)
                continue
            bulk_waits = any(t.priority is BULK for t in self.queue)
            is_run = ticket.priority is INTERACTIVE and bulk_waits
            self.run = self.run + 1 if is_run else 0
            self.held += 1
            return ticket
        return None


class GateMachine(RuleBasedStateMachine):
    """Compare the gate with the naive one over any sequence."""

    def __init__(self) -> None:
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(slot_gate, "INTERACTIVE_RUN_LIMIT", RUN_LIMIT)
        self.clock = ManualClock()
        self.gate = SlotGate(2, QUEUE_LIMIT, self.clock)
        self.naive = NaiveGate(2)
        self.next_id = 0

    def teardown(self) -> None:
        self.patch.undo()

    @rule(
        priority=st.sampled_from(CallPriority),
        budget=st.sampled_from([0.0, 0.5, 3.0, 1e9]),
    )
    def admit(self, priority: CallPriority, budget: float) -> None:
        self.next_id += 1
        deadline = self.clock.monotonic() + budget
        ticket = Ticket(priority, deadline, self.next_id)
        bulk = sum(t.priority is BULK for t in self.naive.queue)
        is_full = len(self.naive.queue) >= QUEUE_LIMIT or (
            priority is BULK and bulk >= BULK_LIMIT
        )
        match self.gate.admit(ticket):
            case Refused(SlotRefusal.DRAINING):
                assert self.gate.is_draining
            case Refused(SlotRefusal.DEADLINE):
                assert not budget
            case Refused(SlotRefusal.QUEUE_FULL):
                assert is_full
                assert self.naive.held >= self.naive.slots
            case Admitted():
                assert budget
                assert self.naive.held < self.naive.slots
                self.naive.held += 1
            case Queued(waiting):
                assert self.naive.held >= self.naive.slots
                assert budget
                assert not is_full
                self.naive.queue.append(ticket)
                assert waiting == len(self.naive.queue)

    @precondition(lambda self: self.naive.held)
    @rule()
    def release(self) -> None:
        self.naive.held -= 1
        expected = self.naive.next_ticket(self.clock.monotonic())
        assert self.gate.release() == expected

    @rule(slots=st.integers(0, 4))
    def resize(self, slots: int) -> None:
        self.naive.slots = slots
        now = self.clock.monotonic()
        expected = []
        while (ticket := self.naive.next_ticket(now)) is not None:
            expected.append(ticket)
        assert self.gate.resize(slots) == tuple(expected)

    @rule(back=st.integers(0, 6))
    def cancel(self, back: int) -> None:
        call_id = self.next_id - back
        kept = [t for t in self.naive.queue if t.call_id != call_id]
        assert self.gate.cancel(call_id) == (len(kept) < len(self.naive.queue))
        self.naive.queue = kept

    @rule(seconds=st.sampled_from([0.5, 3.0]))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @precondition(lambda self: self.next_id > 25)
    @rule()
    def drain(self) -> None:
        self.gate.begin_drain()

    @invariant()
    def same_counts(self) -> None:
        assert self.gate.in_use == self.naive.held
        assert self.gate.waiting == len(self.naive.queue)
        assert self.gate.take_expired() == tuple(self.naive.expired)
        self.naive.expired.clear()
        is_idle = not self.naive.held and not self.naive.queue
        assert self.gate.is_idle == is_idle
        idle = self.naive.held < self.naive.slots
        assert not (idle and self.naive.queue)


TestGateMachine = GateMachine.TestCase
TestGateMachine.settings = settings(
    derandomize=True, max_examples=80, stateful_step_count=60, deadline=None
)


def test_bulk_is_served_under_an_interactive_flood() -> None:
    """Strict priority would starve a bulk ticket under this load."""
    gate = SlotGate(1, 100, ManualClock())
    gate.admit(Ticket(INTERACTIVE, 1e9, 0))
    gate.admit(Ticket(BULK, 1e9, 1))
    served = []
    for call_id in range(2, 40):
        gate.admit(Ticket(INTERACTIVE, 1e9, call_id))
        ticket = gate.release()
        assert ticket is not None
        served.append(ticket.priority)
    assert served.index(BULK) == INTERACTIVE_RUN_LIMIT


def test_misuse_raises_an_invariant_violation() -> None:
    gate = SlotGate(1, 10, ManualClock())
    with pytest.raises(UnheldSlot):
        gate.release()
    gate.admit(Ticket(BULK, 1e9, 1))
    gate.admit(Ticket(BULK, 1e9, 2))
    with pytest.raises(RepeatedTicket):
        gate.admit(Ticket(INTERACTIVE, 1e9, 2))


def test_long_run_serves_or_reports_each_ticket() -> None:
    """No queued ticket is lost across resizes and expiry."""
    rng = random.Random(11)
    clock = ManualClock()
    gate = SlotGate(9, 50, clock)
    open_ids: set[int] = set()
    done = 0
    for call_id in range(20_000):
        clock.advance(rng.expovariate(50))
        priority = BULK if rng.random() < 0.3 else INTERACTIVE
        deadline = clock.monotonic() + rng.uniform(0.05, 2)
        admission = gate.admit(Ticket(priority, deadline, call_id))
        if isinstance(admission, Queued):
            open_ids.add(call_id)
        if gate.in_use and rng.random() < 0.9:
            ticket = gate.release()
            if ticket is not None:
                open_ids.remove(ticket.call_id)
                done += 1
        if call_id % 1000 == 500:
            for ticket in gate.resize(rng.randint(5, 12)):
                open_ids.remove(ticket.call_id)
        for ticket in gate.take_expired():
            open_ids.remove(ticket.call_id)
        assert len(open_ids) == gate.waiting
    assert done > 1000

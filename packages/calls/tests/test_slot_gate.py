import math
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

from rhubarbhollow_admission import served_shares
from rhubarbhollow_admission.call_queue import AGE_SECONDS, MAX_OWED_LATE
from rhubarbhollow_admission.served_shares import (
    DECAY_SECONDS,
    FLOOR_SHARE,
    INVERSION_MARGIN,
    MIN_CALLS,
)
from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.slot_admission import (
    Admitted,
    Queued,
    Refused,
    SlotRefusal,
)
from rhubarbhollow_calls.slot_gate import (
    RepeatedTicket,
    SlotGate,
    UnheldSlot,
)
from rhubarbhollow_calls.slot_ticket import Ticket
from rhubarbhollow_wire.clock import ManualClock

INTERACTIVE, BULK = CallPriority.INTERACTIVE, CallPriority.BULK
QUEUE_LIMIT = 4


class NaiveGate:
    """Reference model that scans one list for the next ticket."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.held = 0
        self.was_owed = False
        # Waiting tickets with the time since when, by arrival.
        self.queue: list[tuple[Ticket, float]] = []
        # Each decision: the lane, when, and whether it got a slot.
        self.decided: list[tuple[tuple, float, bool]] = []
        self.removed: list[Ticket] = []

    def decide(self, ticket: Ticket, now: float, *, is_served: bool) -> None:
        self.decided.append((ticket.lane, now, is_served))

    def share(self, lanes, now: float, extra: int = 0) -> tuple[float, float]:
        weights = [
            (math.exp((at - now) / DECAY_SECONDS), is_served)
            for lane, at, is_served in self.decided
            if lane in lanes
        ]
        decided = sum(weight for weight, _ in weights) + extra
        served = sum(weight for weight, is_served in weights if is_served)
        return decided, served / decided if decided else 0.0

    def owed(self, now: float) -> set:
        seen = {lane for lane, _, _ in self.decided}
        aged = [
            ticket.lane
            for ticket, since in self.queue
            if now - since >= AGE_SECONDS
        ]
        judged = {x for x in seen if self.share({x}, now)[0] >= MIN_CALLS}
        decided, overall = self.share(seen, now)
        floor = FLOOR_SHARE * overall * min(1.0, decided)
        owed = {x for x in judged if self.share({x}, now)[1] < floor}
        owed |= {
            x for x in aged if self.share({x}, now, aged.count(x))[1] < floor
        }
        for lane in judged:
            own = self.share({lane}, now)[1] + INVERSION_MARGIN
            if any(
                own < self.share({other}, now)[1]
                for other in judged
                if other.urgency > lane.urgency
            ):
                owed |= {x for x in judged if x.urgency == lane.urgency}
        routes: dict = {}
        for lane in judged:
            routes.setdefault(lane.route_urgency, set()).add(lane)
        shares = {key: self.share(x, now)[1] for key, x in routes.items()}
        for key, own in shares.items():
            less = [one for other, one in shares.items() if other > key]
            if any(own + INVERSION_MARGIN < one for one in less):
                owed |= routes[key]
        return owed

    def group(self, ticket: Ticket, owed: set, now: float) -> int:
        """Return how likely the ticket is in time; 3 is hopeless."""
        if now >= ticket.deadline:
            return 3
        if now > ticket.latest_start:
            return 3 if ticket.is_measured else 2
        if ticket.is_nested or ticket.lane in owed:
            return 0
        return int(now > ticket.start_by)

    def next_ticket(self, now: float) -> Ticket | None:
        if self.held >= self.slots or not self.queue:
            return None
        owed = self.owed(now)
        preferred = set() if self.was_owed else owed
        seconds = {}
        for ticket, _ in self.queue:
            seconds.setdefault(ticket.lane, ticket.service_seconds)

        def order(ticket: Ticket) -> tuple:
            lane = ticket.lane
            return (
                lane not in preferred,
                lane[:3],
                not ticket.is_nested,
                seconds[lane],
                lane,
                [one.call_id for one, _ in self.queue].index(ticket.call_id),
            )

        tickets = [ticket for ticket, _ in self.queue]
        groups = {t.call_id: self.group(t, owed, now) for t in tickets}
        best = min(groups.values())
        same = [t for t in tickets if groups[t.call_id] == best < 3]
        chosen = min(same, key=order, default=None)
        for ticket in tickets:
            if groups[ticket.call_id] > min(best, 2):
                self.remove(ticket, now)
        if chosen is None:
            return None
        self.queue = [one for one in self.queue if one[0] is not chosen]
        self.held += 1
        self.was_owed = chosen.lane in preferred
        self.decide(chosen, now, is_served=True)
        return chosen

    def remove(self, ticket: Ticket, now: float) -> None:
        self.queue = [one for one in self.queue if one[0] is not ticket]
        self.removed.append(ticket)
        self.decide(ticket, now, is_served=False)


class GateMachine(RuleBasedStateMachine):
    """Compare the gate with the naive one over any sequence.

    Guards against an idle slot while a call waits, a call that is
    answered twice or never, and an order other than the stated one.
    """

    def __init__(self) -> None:
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(served_shares, "REFRESH_SECONDS", 0.0)
        self.clock = ManualClock()
        self.gate = SlotGate(2, QUEUE_LIMIT, self.clock)
        self.naive = NaiveGate(2)
        self.next_id = 0
        self.answered: set[int] = set()

    def teardown(self) -> None:
        self.patch.undo()

    def answer(self, call_id: int) -> None:
        assert call_id not in self.answered
        self.answered.add(call_id)

    @rule(
        priority=st.sampled_from(CallPriority),
        tenant_priority=st.integers(0, 1),
        budget=st.sampled_from([0.0, 0.5, 3.0, 1e9]),
        seconds=st.sampled_from([0.0, 0.2, 0.7]),
        slack=st.sampled_from([0.1, 1.0, math.inf]),
        is_nested=st.booleans(),
        is_measured=st.booleans(),
    )
    def admit(
        self,
        priority: CallPriority,
        tenant_priority: int,
        budget: float,
        seconds: float,
        slack: float,
        is_nested: bool,
        is_measured: bool,
    ) -> None:
        self.next_id += 1
        now = self.clock.monotonic()
        ticket = Ticket(
            priority,
            now + budget,
            self.next_id,
            service_seconds=seconds,
            start_by=now + slack,
            latest_start=now + budget - seconds,
            tenant_priority=tenant_priority,
            is_nested=is_nested,
            is_measured=is_measured,
        )
        is_full = len(self.naive.queue) >= QUEUE_LIMIT
        had_waiting = bool(self.naive.queue)
        admission = self.gate.admit(ticket)
        if isinstance(admission, Refused):
            self.check_refused(ticket, admission.reason, now)
            return
        assert budget
        assert not (is_measured and seconds > budget)
        if isinstance(admission, Admitted):
            assert self.naive.held < self.naive.slots
            self.naive.held += 1
            self.naive.decide(ticket, now, is_served=True)
            self.answer(ticket.call_id)
            return
        assert self.naive.held >= self.naive.slots
        assert had_waiting or seconds <= budget or not is_measured
        self.naive.queue.append((ticket, now))
        self.check_evicted(ticket, is_full, now)
        assert admission.waiting == len(self.naive.queue) <= QUEUE_LIMIT

    def check_refused(
        self, ticket: Ticket, reason: SlotRefusal, now: float
    ) -> None:
        naive = self.naive
        self.answer(ticket.call_id)
        is_busy = naive.held >= naive.slots
        if reason is SlotRefusal.DRAINING:
            assert self.gate.is_draining
            return
        if reason is SlotRefusal.DEADLINE:
            assert now >= ticket.deadline
            return
        if reason is SlotRefusal.QUEUE_FULL:
            assert len(naive.queue) >= QUEUE_LIMIT
            assert all(
                one.lane.urgency <= ticket.lane.urgency
                for one, _ in naive.queue
            )
        elif reason is SlotRefusal.CANNOT_END:
            is_hopeless = ticket.is_measured and now > ticket.latest_start
            is_measured = ticket.is_measured
            assert is_hopeless or (is_busy and (naive.queue or is_measured))
        else:
            assert reason is SlotRefusal.TOO_LATE
            assert is_busy
            assert naive.queue
            assert not ticket.is_nested
            assert ticket.start_by < math.inf
            same = [x for x, _ in naive.queue if x.lane == ticket.lane]
            is_owed = ticket.lane in naive.owed(now)
            assert not is_owed or len(same) >= MAX_OWED_LATE
        naive.decide(ticket, now, is_served=False)

    def check_evicted(self, ticket: Ticket, is_full: bool, now: float) -> None:
        naive = self.naive
        work = sum(one.service_seconds for one, _ in naive.queue)
        # No service time is longer than 0.7 s.
        longest_wait = (work + 0.7) / max(1, naive.slots)
        for one in self.take_removed():
            is_late = now + longest_wait > one.start_by
            is_less_urgent = one.lane.urgency > ticket.lane.urgency
            assert (is_late and not one.is_nested) or (
                is_full and is_less_urgent
            )
            naive.remove(one, now)
            naive.removed.remove(one)
            self.answer(one.call_id)

    def take_removed(self) -> list[Ticket]:
        expired = self.gate.take_expired()
        now = self.clock.monotonic()
        assert all(ticket.deadline <= now for ticket in expired)
        return [*expired, *self.gate.take_overdue()]

    def check_started(self, ticket: Ticket | None) -> None:
        if ticket is not None:
            self.answer(ticket.call_id)
        removed = self.take_removed()
        assert {one.call_id for one in removed} == {
            one.call_id for one in self.naive.removed
        }
        self.naive.removed.clear()
        for one in removed:
            self.answer(one.call_id)

    @precondition(lambda self: self.naive.held)
    @rule()
    def release(self) -> None:
        self.naive.held -= 1
        expected = self.naive.next_ticket(self.clock.monotonic())
        ticket = self.gate.release()
        assert ticket == expected
        self.check_started(ticket)

    @rule(slots=st.integers(0, 4))
    def resize(self, slots: int) -> None:
        self.naive.slots = slots
        now = self.clock.monotonic()
        expected = []
        while (ticket := self.naive.next_ticket(now)) is not None:
            expected.append(ticket)
        assert self.gate.resize(slots) == tuple(expected)
        for ticket in expected:
            self.answer(ticket.call_id)
        self.check_started(None)

    @rule(back=st.integers(0, 6))
    def cancel(self, back: int) -> None:
        call_id = self.next_id - back
        kept = [one for one in self.naive.queue if one[0].call_id != call_id]
        was_waiting = len(kept) < len(self.naive.queue)
        assert self.gate.cancel(call_id) == was_waiting
        self.naive.queue = kept
        if was_waiting:
            self.answer(call_id)

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
        is_idle = not self.naive.held and not self.naive.queue
        assert self.gate.is_idle == is_idle
        idle = self.naive.held < self.naive.slots
        assert not (idle and self.naive.queue)
        waiting = {ticket.call_id for ticket, _ in self.naive.queue}
        assert not waiting & self.answered
        assert waiting | self.answered == set(range(1, self.next_id + 1))


TestGateMachine = GateMachine.TestCase
TestGateMachine.settings = settings(
    derandomize=True, max_examples=120, stateful_step_count=60, deadline=None
)


def test_bulk_is_served_under_an_interactive_flood() -> None:
    """Strict priority would starve a bulk ticket under this load."""
    clock = ManualClock()
    gate = SlotGate(1, 100, clock)
    gate.admit(Ticket(INTERACTIVE, 1e9, 0))
    gate.admit(Ticket(BULK, 1e9, 1))
    served = []
    step = 0.1
    for call_id in range(2, 40):
        clock.advance(step)
        gate.admit(Ticket(INTERACTIVE, 1e9, call_id))
        ticket = gate.release()
        assert ticket is not None
        served.append(ticket.priority)
    assert served.index(BULK) <= AGE_SECONDS / step


def test_no_lane_is_served_less_than_a_quarter_as_often_as_all() -> None:
    """Guard against starvation by urgent calls that take all slots.

    The urgent calls alone ask for 1.5 times the slots.
    """
    rng = random.Random(5)
    clock = ManualClock()
    gate = SlotGate(5, 64, clock)
    offered, started = [0, 0, 0], [0, 0, 0]
    lane_of = {}
    ends: list[float] = []
    for call_id in range(9_000):
        clock.advance(rng.expovariate(100))
        now = clock.monotonic()
        while ends and min(ends) <= now:
            ends.remove(min(ends))
            ticket = gate.release()
            if ticket is not None:
                started[lane_of[ticket.call_id]] += 1
                ends.append(now + rng.uniform(0.07, 0.13))
        gate.take_overdue()
        gate.take_expired()
        lane = rng.choices((0, 1, 2), (75, 12, 13))[0]
        lane_of[call_id] = lane
        offered[lane] += 1
        admission = gate.admit(
            Ticket(
                INTERACTIVE if lane < 2 else BULK,
                now + 2,
                call_id,
                rank=lane,
                objective_ms=500,
                service_seconds=0.1,
                start_by=now + 0.38,
                latest_start=now + 1.9,
                is_measured=True,
            )
        )
        if isinstance(admission, Admitted):
            started[lane] += 1
            ends.append(now + rng.uniform(0.07, 0.13))
    overall = sum(started) / sum(offered)
    assert 0.4 < overall < 0.6
    shares = [one / of for one, of in zip(started, offered, strict=True)]
    assert min(shares) >= overall / 4
    # A more urgent route is not served less often by more than 0.05.
    assert shares[0] + 0.05 >= shares[1]
    assert shares[1] + 0.05 >= shares[2]


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
        for ticket in (*gate.take_expired(), *gate.take_overdue()):
            open_ids.remove(ticket.call_id)
        assert len(open_ids) == gate.waiting
    assert done > 1000

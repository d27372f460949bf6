"""The slots of one upstream and the queue for them."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.backlog import Backlog
from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.invariant import InvariantViolation
from rhubarbhollow_calls.slot_admission import (
    Admission,
    Admitted,
    Queued,
    Refused,
    SlotRefusal,
)

if TYPE_CHECKING:
    from rhubarbhollow_calls.slot_ticket import Lane, Ticket
    from rhubarbhollow_wire.clock import Clock

# after so many interactive tickets in a row a waiting bulk one is next
INTERACTIVE_RUN_LIMIT: Final = 8
# keeps room in the queue for interactive tickets
BULK_QUEUE_SHARE: Final = 0.75

# of the slots, when urgent calls are let pass
MIN_BULK_SHARE: Final = 1 / (1 + INTERACTIVE_RUN_LIMIT)
# the weight of one more call in the mean service time
MEAN_WEIGHT: Final = 0.1

_ADMITTED: Final = Admitted()
_REFUSED_FULL: Final = Refused(SlotRefusal.QUEUE_FULL)
_REFUSED_LATE: Final = Refused(SlotRefusal.TOO_LATE)
_REFUSED_DEADLINE: Final = Refused(SlotRefusal.DEADLINE)
_REFUSED_DRAINING: Final = Refused(SlotRefusal.DRAINING)


class IdleSlot(InvariantViolation):
    """A slot was free while a live ticket waited."""


class UnheldSlot(InvariantViolation):
    """A slot was released that nobody held."""


class RepeatedTicket(InvariantViolation):
    """A call asked for a second place in the queue."""


class SlotGate:
    """Admit calls to the one upstream beside this node.

    Tickets wait in lanes, by priority, rank and objective; a lower lane
    goes first, and within a lane the order is that of arrival.  The
    last lane that waits gets a slot after the others were given
    ``INTERACTIVE_RUN_LIMIT`` times its service time in a row, so that
    no lane starves.

    A ticket that would start too late to meet its objective is turned
    away at once, so that its call can go elsewhere; one that turned out
    to be late gives way to those that are not.
    """

    __slots__ = (
        "_bulk_limit",
        "_clock",
        "_expired",
        "_given_before_last",
        "_in_use",
        "_interactive_seconds",
        "_is_draining",
        "_lanes",
        "_mean_seconds",
        "_overdue",
        "_places",
        "_queue_limit",
        "_slots",
    )

    def __init__(self, slots: int, queue_limit: int, clock: Clock) -> None:
        self._slots = slots
        self._queue_limit = queue_limit
        self._bulk_limit = int(queue_limit * BULK_QUEUE_SHARE)
        self._clock = clock
        self._in_use = 0
        self._is_draining = False
        self._lanes: dict[Lane, OrderedDict[int, Ticket]] = {}
        self._places: dict[int, Lane] = {}
        # service time given to other lanes while the last one waited
        self._given_before_last = 0.0
        self._mean_seconds = 0.0
        # the same, with bulk calls counted as none
        self._interactive_seconds = 0.0
        self._expired: list[Ticket] = []
        self._overdue: list[Ticket] = []

    @property
    def slots(self) -> int:
        """Return the number of slots."""
        return self._slots

    @property
    def in_use(self) -> int:
        """Return the slots that are held, more than all on a shrink."""
        return self._in_use

    @property
    def waiting(self) -> int:
        """Return the tickets in the queue."""
        return len(self._places)

    @property
    def is_draining(self) -> bool:
        """Return whether new tickets are turned away."""
        return self._is_draining

    @property
    def is_idle(self) -> bool:
        """Return whether nothing runs and nothing waits."""
        return not self._in_use and not self.waiting

    @property
    def backlog(self) -> Backlog:
        """Return how long calls of either class would wait here.

        Running calls are taken to have half of their time left.  An
        interactive call is next when a slot is given back, which takes
        longer the more of them are held.
        """
        slots = max(1, self._slots)
        running = self._in_use * self._mean_seconds
        interactive, bulk = self._waiting_seconds()
        return Backlog(
            (running / slots + interactive) / slots,
            (running / 2 + interactive + bulk) / slots,
        )

    def admit(self, ticket: Ticket) -> Admission:
        """Give the ticket a slot, a place in the queue, or neither."""
        if self._is_draining:
            return _REFUSED_DRAINING
        now = self._clock.monotonic()
        if now >= ticket.deadline:
            return _REFUSED_DEADLINE
        if self._in_use < self._slots:
            # a free slot means that no live ticket waits
            self._take_slot(ticket)
            return _ADMITTED
        if now + self._expected_wait(ticket) > ticket.start_by:
            return _REFUSED_LATE
        return self._enqueue(ticket)

    def release(self) -> Ticket | None:
        """Give a slot back; return the ticket that now holds it."""
        if self._in_use <= 0:
            raise UnheldSlot
        self._in_use -= 1
        return self._maybe_hand_over()

    def cancel(self, call_id: int) -> bool:
        """Remove a waiting ticket; return whether it was waiting."""
        lane = self._places.pop(call_id, None)
        if lane is None:
            return False
        self._drop(lane, call_id)
        return True

    def resize(self, slots: int) -> tuple[Ticket, ...]:
        """Change the slots; return the tickets that got a new one.

        Held slots are never taken away: on a shrink, releases hand
        nothing over until the number fits.
        """
        self._slots = slots
        started = []
        while (ticket := self._maybe_hand_over()) is not None:
            started.append(ticket)
        return tuple(started)

    def begin_drain(self) -> None:
        """Turn away new tickets; those that wait still get slots."""
        self._is_draining = True

    def take_waiting(self) -> tuple[Ticket, ...]:
        """Empty the queue; return the tickets that were in it."""
        waiting = tuple(
            ticket
            for lane in sorted(self._lanes)
            for ticket in self._lanes[lane].values()
        )
        self._lanes.clear()
        self._places.clear()
        return waiting

    def take_expired(self) -> tuple[Ticket, ...]:
        """Return the tickets that were skipped as expired, once."""
        expired = tuple(self._expired)
        self._expired.clear()
        return expired

    def take_overdue(self) -> tuple[Ticket, ...]:
        """Return the tickets that gave way as late, once."""
        overdue = tuple(self._overdue)
        self._overdue.clear()
        return overdue

    def _expected_wait(self, ticket: Ticket) -> float:
        """Return the seconds until a slot is free for the ticket.

        A bulk call also lets those pass that come after it and are more
        urgent, which leaves it a part of the slots.
        """
        ahead = sum(
            waiting.service_seconds
            for lane, queue in self._lanes.items()
            if lane <= ticket.lane
            for waiting in queue.values()
        )
        slots = float(max(1, self._slots))
        if ticket.priority is CallPriority.BULK:
            slots *= max(MIN_BULK_SHARE, 1 - self._interactive_share)
        return (ahead + self._mean_seconds) / slots

    def _waiting_seconds(self) -> tuple[float, float]:
        """Return the service time that waits, of either class."""
        seconds = [0.0, 0.0]
        for lane, queue in self._lanes.items():
            is_bulk = lane[0] == CallPriority.BULK
            seconds[is_bulk] += sum(
                ticket.service_seconds for ticket in queue.values()
            )
        return seconds[0], seconds[1]

    @property
    def _interactive_share(self) -> float:
        """Return the share of recent service time in urgent calls."""
        if not self._mean_seconds:
            return 0.0
        return self._interactive_seconds / self._mean_seconds

    def _enqueue(self, ticket: Ticket) -> Admission:
        if self.waiting >= self._queue_limit:
            return _REFUSED_FULL
        is_bulk = ticket.priority is CallPriority.BULK
        if is_bulk and self._bulk_waiting() >= self._bulk_limit:
            return _REFUSED_FULL
        if ticket.call_id in self._places:
            raise RepeatedTicket(ticket.call_id)
        lane = ticket.lane
        self._lanes.setdefault(lane, OrderedDict())[ticket.call_id] = ticket
        self._places[ticket.call_id] = lane
        return Queued(self.waiting)

    def _bulk_waiting(self) -> int:
        return sum(
            len(queue)
            for lane, queue in self._lanes.items()
            if lane[0] == CallPriority.BULK
        )

    def _maybe_hand_over(self) -> Ticket | None:
        if self._in_use >= self._slots:
            return None
        now = self._clock.monotonic()
        while (ticket := self._maybe_pop()) is not None:
            if now >= ticket.deadline:
                self._expired.append(ticket)
            elif now > ticket.start_by and self.waiting:
                self._overdue.append(ticket)
            else:
                self._note_turn(ticket)
                self._take_slot(ticket)
                return ticket
        self._check_idle()
        return None

    def _maybe_pop(self) -> Ticket | None:
        if not self._lanes:
            return None
        lane = self._next_lane()
        call_id = next(iter(self._lanes[lane]))
        del self._places[call_id]
        return self._drop(lane, call_id)

    def _next_lane(self) -> Lane:
        first, last = min(self._lanes), max(self._lanes)
        head = next(iter(self._lanes[last].values()))
        limit = INTERACTIVE_RUN_LIMIT * head.cost
        return last if self._given_before_last >= limit else first

    def _drop(self, lane: Lane, call_id: int) -> Ticket:
        queue = self._lanes[lane]
        ticket = queue.pop(call_id)
        if not queue:
            del self._lanes[lane]
        return ticket

    def _note_turn(self, ticket: Ticket) -> None:
        is_last = not any(lane > ticket.lane for lane in self._lanes)
        if is_last:
            self._given_before_last = 0.0
        else:
            self._given_before_last += ticket.cost

    def _take_slot(self, ticket: Ticket) -> None:
        self._in_use += 1
        seconds = ticket.service_seconds
        self._mean_seconds += MEAN_WEIGHT * (seconds - self._mean_seconds)
        if ticket.priority is CallPriority.BULK:
            seconds = 0.0
        self._interactive_seconds += MEAN_WEIGHT * (
            seconds - self._interactive_seconds
        )

    def _check_idle(self) -> None:
        if self._in_use < self._slots and self.waiting:
            raise IdleSlot

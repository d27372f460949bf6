"""Gate with priority lanes, as a baseline of the admission trial.

It orders by priority, rank and objective, serves each lane in the order
of arrival and gives the last lane a ninth of the service time.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.invariant import InvariantViolation
from rhubarbhollow_calls.slot_admission import (
    Admission,
    Admitted,
    Queued,
    Refused,
    SlotRefusal,
)
from rhubarbhollow_calls.standing_queue import StandingQueue

if TYPE_CHECKING:
    from rhubarbhollow_calls.slot_ticket import Ticket
    from rhubarbhollow_wire.clock import Clock

Lane = tuple[int, int, int]

# After this many tickets of other lanes in a row, a ticket that waits
# in the last lane is served next, if all service times are equal.
INTERACTIVE_RUN_LIMIT: Final = 8
# Largest share of the queue that bulk tickets may fill. The rest is
# reserved for interactive tickets.
BULK_QUEUE_SHARE: Final = 0.75

# Share of the slots that bulk calls get at least, while interactive
# calls overtake them.
MIN_BULK_SHARE: Final = 1 / (1 + INTERACTIVE_RUN_LIMIT)
# Weight of a new sample in the moving average of the service time.
MEAN_WEIGHT: Final = 0.1
MS_PER_SECOND: Final = 1000

_ADMITTED: Final = Admitted()
_REFUSED_FULL: Final = Refused(SlotRefusal.QUEUE_FULL)
_REFUSED_LATE: Final = Refused(SlotRefusal.TOO_LATE)
_REFUSED_DEADLINE: Final = Refused(SlotRefusal.DEADLINE)


class IdleSlot(InvariantViolation):
    """Raised when a slot is free while a ticket waits."""


class UnheldSlot(InvariantViolation):
    """Raised when a slot is released while none is in use."""


class RepeatedTicket(InvariantViolation):
    """Raised when a call is queued that already waits in the queue."""


class LaneGate:
    """Admit calls to the upstream beside this node.

    Tickets wait in lanes, which are ordered by priority, rank and
    objective. A lower lane is served first, and each lane is a FIFO
    queue. To prevent starvation, the last lane with waiting tickets
    gets a slot once the other lanes have been given
    ``INTERACTIVE_RUN_LIMIT`` times the service time of its first ticket
    in a row.

    If no slot is free, a ticket that would start too late to meet its
    objective, or its deadline if it is interactive, is rejected at
    once, so that its call can be sent to another upstream. So is a bulk
    ticket that would wait long in a queue that does not drain. A queued
    ticket that has become late when its turn comes is removed and
    returned by ``take_overdue``, unless it is the last one waiting.
    """

    __slots__ = (
        "_bulk_limit",
        "_bypass_seconds",
        "_clock",
        "_expired",
        "_in_use",
        "_lane_by_call_id",
        "_lanes",
        "_mean_interactive_seconds",
        "_mean_seconds",
        "_overdue",
        "_queue_limit",
        "_slots",
        "_standing",
    )

    def __init__(self, slots: int, queue_limit: int, clock: Clock) -> None:
        self._slots = slots
        self._queue_limit = queue_limit
        self._bulk_limit = int(queue_limit * BULK_QUEUE_SHARE)
        self._clock = clock
        self._in_use = 0
        self._lanes: dict[Lane, OrderedDict[int, Ticket]] = {}
        self._lane_by_call_id: dict[int, Lane] = {}
        # Service time in seconds that was given to other lanes since
        # the last lane got a slot or stopped waiting.
        self._bypass_seconds = 0.0
        self._mean_seconds = 0.0
        # The same average, with a bulk call counted as 0 seconds.
        self._mean_interactive_seconds = 0.0
        self._expired: list[Ticket] = []
        self._overdue: list[Ticket] = []
        self._standing = StandingQueue()

    @property
    def in_use(self) -> int:
        """Return the number of slots in use.

        It exceeds ``slots`` for a while after a shrink.
        """
        return self._in_use

    @property
    def waiting(self) -> int:
        """Return the number of tickets in the queue."""
        return len(self._lane_by_call_id)

    def admit(self, ticket: Ticket) -> Admission:
        """Give the ticket a slot, queue it, or reject it."""
        now = self._clock.monotonic()
        if now >= ticket.deadline:
            return _REFUSED_DEADLINE
        if self._in_use < self._slots:
            # A free slot implies that no ticket waits (_check_idle).
            self._take_slot(ticket)
            return _ADMITTED
        wait = self._expected_wait(ticket)
        if now + wait > ticket.start_by or self._is_standing(
            ticket, wait, now
        ):
            return _REFUSED_LATE
        return self._enqueue(ticket)

    def release(self) -> Ticket | None:
        """Release a slot; return the ticket that gets it, if any."""
        if self._in_use <= 0:
            raise UnheldSlot(f"release with {self._in_use} slots in use")
        self._in_use -= 1
        return self._maybe_hand_over()

    def cancel(self, call_id: int) -> bool:
        """Remove a ticket from the queue; return whether it waited."""
        lane = self._lane_by_call_id.pop(call_id, None)
        if lane is None:
            return False
        self._remove(lane, call_id)
        return True

    def take_expired(self) -> tuple[Ticket, ...]:
        """Return and clear the tickets removed as expired."""
        expired = tuple(self._expired)
        self._expired.clear()
        return expired

    def take_overdue(self) -> tuple[Ticket, ...]:
        """Return and clear the tickets removed as late."""
        overdue = tuple(self._overdue)
        self._overdue.clear()
        return overdue

    def _expected_wait(self, ticket: Ticket) -> float:
        """Return the seconds until a slot is free for the ticket.

        A bulk call is also overtaken by interactive calls that arrive
        after it, so it is expected to get only a part of the slots.
        """
        ahead = sum(
            waiting.service_seconds
            for lane, queue in self._lanes.items()
            if lane <= _lane(ticket)
            for waiting in queue.values()
        )
        slots = float(max(1, self._slots))
        if ticket.priority is CallPriority.BULK:
            slots *= max(MIN_BULK_SHARE, 1 - self._interactive_share)
        return (ahead + self._mean_seconds) / slots

    def _is_standing(self, ticket: Ticket, wait: float, now: float) -> bool:
        """Return whether a bulk call meets a queue that does not drain.

        Interactive calls have few ahead of them, and wait.
        """
        if ticket.priority is not CallPriority.BULK:
            return False
        waiting = self._bulk_waiting()
        self._standing.observe(waiting, now)
        if not ticket.objective_ms:
            return False
        objective = ticket.objective_ms / MS_PER_SECOND
        return self._standing.is_too_long(waiting, wait, objective, now)

    @property
    def _interactive_share(self) -> float:
        """Return the interactive share of recent service time."""
        if not self._mean_seconds:
            return 0.0
        return self._mean_interactive_seconds / self._mean_seconds

    def _enqueue(self, ticket: Ticket) -> Admission:
        if self.waiting >= self._queue_limit:
            return _REFUSED_FULL
        is_bulk = ticket.priority is CallPriority.BULK
        if is_bulk and self._bulk_waiting() >= self._bulk_limit:
            return _REFUSED_FULL
        if ticket.call_id in self._lane_by_call_id:
            raise RepeatedTicket(f"call {ticket.call_id} is already queued")
        lane = _lane(ticket)
        self._lanes.setdefault(lane, OrderedDict())[ticket.call_id] = ticket
        self._lane_by_call_id[ticket.call_id] = lane
        return Queued(self.waiting)

    def _bulk_waiting(self) -> int:
        return sum(
            len(queue)
            for lane, queue in self._lanes.items()
            if lane[0] == CallPriority.BULK
        )

    def _maybe_hand_over(self) -> Ticket | None:
        """Give a free slot to the next ticket that can still use it."""
        if self._in_use >= self._slots:
            return None
        now = self._clock.monotonic()
        while (ticket := self._maybe_pop()) is not None:
            if now >= ticket.deadline:
                self._expired.append(ticket)
            elif now > ticket.start_by and self.waiting:
                self._overdue.append(ticket)
            else:
                self._record_turn(ticket)
                self._take_slot(ticket)
                return ticket
        self._check_idle()
        return None

    def _maybe_pop(self) -> Ticket | None:
        if not self._lanes:
            return None
        lane = self._next_lane()
        call_id = next(iter(self._lanes[lane]))
        del self._lane_by_call_id[call_id]
        return self._remove(lane, call_id)

    def _next_lane(self) -> Lane:
        """Return the first lane, or the last if its turn is due."""
        first, last = min(self._lanes), max(self._lanes)
        head = next(iter(self._lanes[last].values()))
        limit = INTERACTIVE_RUN_LIMIT * (head.service_seconds or 1.0)
        return last if self._bypass_seconds >= limit else first

    def _remove(self, lane: Lane, call_id: int) -> Ticket:
        queue = self._lanes[lane]
        ticket = queue.pop(call_id)
        if not queue:
            del self._lanes[lane]
        return ticket

    def _record_turn(self, ticket: Ticket) -> None:
        """Count the service time given while a later lane waits."""
        is_last = not any(lane > _lane(ticket) for lane in self._lanes)
        if is_last:
            self._bypass_seconds = 0.0
        else:
            self._bypass_seconds += ticket.service_seconds or 1.0

    def _take_slot(self, ticket: Ticket) -> None:
        self._in_use += 1
        seconds = ticket.service_seconds
        self._mean_seconds += MEAN_WEIGHT * (seconds - self._mean_seconds)
        if ticket.priority is CallPriority.BULK:
            seconds = 0.0
        self._mean_interactive_seconds += MEAN_WEIGHT * (
            seconds - self._mean_interactive_seconds
        )

    def _check_idle(self) -> None:
        if self._in_use < self._slots and self.waiting:
            raise IdleSlot(
                f"{self._in_use} of {self._slots} slots in use while"
                f" {self.waiting} tickets wait"
            )


def _lane(ticket: Ticket) -> Lane:
    return (int(ticket.priority), ticket.rank, ticket.objective_ms)

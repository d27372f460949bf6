"""The concurrency slots of one upstream and the queue for them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_admission.call_queue import CallQueue
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
from rhubarbhollow_calls.standing_queue import StandingQueue

if TYPE_CHECKING:
    from rhubarbhollow_admission.call_lane import CallLane
    from rhubarbhollow_calls.slot_ticket import Ticket
    from rhubarbhollow_wire.clock import Clock

# Weight of a new sample in the moving average of the service time.
MEAN_WEIGHT: Final = 0.1
MS_PER_SECOND: Final = 1000

_ADMITTED: Final = Admitted()
_REFUSED_FULL: Final = Refused(SlotRefusal.QUEUE_FULL)
_REFUSED_LATE: Final = Refused(SlotRefusal.TOO_LATE)
_REFUSED_CANNOT_END: Final = Refused(SlotRefusal.CANNOT_END)
_REFUSED_DEADLINE: Final = Refused(SlotRefusal.DEADLINE)
_REFUSED_DRAINING: Final = Refused(SlotRefusal.DRAINING)


class IdleSlot(InvariantViolation):
    """Raised when a slot is free while a ticket waits."""


class UnheldSlot(InvariantViolation):
    """Raised when a slot is released while none is in use."""


class RepeatedTicket(InvariantViolation):
    """Raised when a call is queued that already waits in the queue."""


class SlotGate:
    """Admit calls to the upstream beside this node.

    ``CallQueue`` decides the order. A ticket that would start too late
    to meet its objective is rejected at once, so that its call can be
    sent to another upstream or its caller can come back when there is
    capacity; ``CallQueue.may_wait`` lists the exceptions. A queued
    ticket that can no longer be served in time is removed and returned
    by ``take_overdue``, and by ``take_expired`` if its deadline has
    passed.
    """

    __slots__ = (
        "_clock",
        "_in_use",
        "_is_draining",
        "_mean_seconds",
        "_queue",
        "_queue_limit",
        "_removed",
        "_slots",
        "_standing",
    )

    def __init__(self, slots: int, queue_limit: int, clock: Clock) -> None:
        self._slots = slots
        self._queue_limit = queue_limit
        self._clock = clock
        self._in_use = 0
        self._is_draining = False
        self._queue: CallQueue[Ticket] = CallQueue()
        self._mean_seconds = 0.0
        # Tickets removed since they were last taken, and when.
        self._removed: list[tuple[Ticket, float]] = []
        self._standing: dict[CallLane, StandingQueue] = {}

    @property
    def slots(self) -> int:
        """Return the number of slots."""
        return self._slots

    @property
    def in_use(self) -> int:
        """Return the number of slots in use.

        It exceeds ``slots`` for a while after a shrink.
        """
        return self._in_use

    @property
    def waiting(self) -> int:
        """Return the number of tickets in the queue."""
        return len(self._queue)

    @property
    def is_draining(self) -> bool:
        """Return whether new tickets are rejected."""
        return self._is_draining

    @property
    def is_idle(self) -> bool:
        """Return whether no slot is in use and no ticket waits."""
        return not self._in_use and not self.waiting

    @property
    def backlog(self) -> Backlog:
        """Return how long a call of either priority would wait here.

        An interactive call is served as soon as a slot is released,
        ahead of bulk calls; its wait grows with the number of slots in
        use. For a bulk call, running calls are assumed to have half of
        their service time left.
        """
        slots = max(1, self._slots)
        running = self._in_use * self._mean_seconds
        interactive = self._queue.waiting_seconds(CallPriority.INTERACTIVE)
        bulk = self._queue.waiting_seconds(CallPriority.BULK)
        return Backlog(
            (running / slots + interactive) / slots,
            (running / 2 + interactive + bulk) / slots,
        )

    def admit(self, ticket: Ticket) -> Admission:
        """Give the ticket a slot, queue it, or reject it."""
        if self._is_draining:
            return _REFUSED_DRAINING
        now = self._clock.monotonic()
        if now >= ticket.deadline:
            return _REFUSED_DEADLINE
        queue = self._queue
        queue.record_arrival(ticket, now)
        admission = self._decide(ticket, now)
        if isinstance(admission, Refused):
            queue.record_rejection(ticket, now)
        return admission

    def release(self) -> Ticket | None:
        """Release a slot; return the ticket that gets it, if any."""
        if self._in_use <= 0:
            raise UnheldSlot(f"release with {self._in_use} slots in use")
        self._in_use -= 1
        return self._maybe_hand_over()

    def cancel(self, call_id: int) -> bool:
        """Remove a ticket from the queue; return whether it waited."""
        return self._queue.remove(call_id)

    def resize(self, slots: int) -> tuple[Ticket, ...]:
        """Change the number of slots; return the tickets that got one.

        Slots in use are never revoked: after a shrink, releases admit
        no ticket until fewer slots are in use than exist.
        """
        self._slots = slots
        started = []
        while (ticket := self._maybe_hand_over()) is not None:
            started.append(ticket)
        return tuple(started)

    def begin_drain(self) -> None:
        """Reject new tickets; those in the queue still get slots."""
        self._is_draining = True

    def take_waiting(self) -> tuple[Ticket, ...]:
        """Empty the queue; return the tickets that were in it."""
        return self._queue.clear()

    def take_expired(self) -> tuple[Ticket, ...]:
        """Return and clear the tickets removed as expired."""
        return self._take_removed(is_expired=True)

    def take_overdue(self) -> tuple[Ticket, ...]:
        """Return and clear the tickets removed as late."""
        return self._take_removed(is_expired=False)

    def _decide(self, ticket: Ticket, now: float) -> Admission:
        if ticket.is_measured and now > ticket.latest_start:
            return _REFUSED_CANNOT_END
        if self._in_use < self._slots:
            # A free slot implies that no ticket waits (_check_idle).
            self._take_slot(ticket, now)
            return _ADMITTED
        wait = self._queue.expected_wait(
            ticket, self._slots, self._mean_seconds, now
        )
        if now + wait > ticket.latest_start and (
            self.waiting or ticket.is_measured
        ):
            return _REFUSED_CANNOT_END
        if not self._queue.may_wait(ticket, wait, now) or self._is_standing(
            ticket, wait, now
        ):
            return _REFUSED_LATE
        return self._enqueue(ticket, now)

    def _take_removed(self, *, is_expired: bool) -> tuple[Ticket, ...]:
        if not self._removed:
            return ()
        taken, kept = [], []
        for ticket, at in self._removed:
            if (at >= ticket.deadline) is is_expired:
                taken.append(ticket)
            else:
                kept.append((ticket, at))
        self._removed = kept
        return tuple(taken)

    def _is_standing(self, ticket: Ticket, wait: float, now: float) -> bool:
        """Return whether a call meets a queue that does not drain."""
        lane = ticket.lane
        standing = self._standing.get(lane)
        if standing is None:
            standing = self._standing[lane] = StandingQueue()
        waiting = self._queue.waiting_before(lane)
        standing.observe(waiting, now)
        if not ticket.objective_ms or ticket.is_nested:
            return False
        objective = ticket.objective_ms / MS_PER_SECOND
        return standing.is_too_long(
            waiting, wait, objective, now
        ) and not self._queue.is_owed(lane, now)

    def _enqueue(self, ticket: Ticket, now: float) -> Admission:
        queue = self._queue
        if ticket.call_id in queue:
            raise RepeatedTicket(f"call {ticket.call_id} is already queued")
        if self.waiting >= self._queue_limit and not queue.evict_for(ticket):
            return _REFUSED_FULL
        queue.add(ticket, now)
        queue.evict_late(ticket, self._slots, self._mean_seconds, now)
        self._note_removed(now)
        return Queued(self.waiting)

    def _maybe_hand_over(self) -> Ticket | None:
        """Give a free slot to the next ticket that can still use it."""
        if self._in_use >= self._slots or not self.waiting:
            return None
        now = self._clock.monotonic()
        ticket = self._queue.pop_next(now)
        self._note_removed(now)
        if ticket is None:
            self._check_idle()
        else:
            self._take_slot(ticket, now)
        return ticket

    def _note_removed(self, now: float) -> None:
        for ticket in self._queue.take_evicted():
            self._queue.record_rejection(ticket, now)
            self._removed.append((ticket, now))

    def _take_slot(self, ticket: Ticket, now: float) -> None:
        self._in_use += 1
        self._queue.record_start(ticket, now)
        seconds = ticket.service_seconds
        self._mean_seconds += MEAN_WEIGHT * (seconds - self._mean_seconds)

    def _check_idle(self) -> None:
        if self._in_use < self._slots and self.waiting:
            raise IdleSlot(
                f"{self._in_use} of {self._slots} slots in use while"
                f" {self.waiting} tickets wait"
            )

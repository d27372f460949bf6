"""The slots of one upstream and the queue for them."""

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

if TYPE_CHECKING:
    from rhubarbhollow_calls.slot_ticket import Ticket
    from rhubarbhollow_wire.clock import Clock

# after so many interactive tickets in a row a waiting bulk one is next
INTERACTIVE_RUN_LIMIT: Final = 8
# keeps room in the queue for interactive tickets
BULK_QUEUE_SHARE: Final = 0.75

_ADMITTED: Final = Admitted()
_REFUSED_FULL: Final = Refused(SlotRefusal.QUEUE_FULL)
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

    Interactive tickets go before bulk ones, except that a waiting bulk
    ticket gets a slot after ``INTERACTIVE_RUN_LIMIT`` interactive ones
    in a row. Within a priority the order is that of arrival.
    """

    __slots__ = (
        "_bulk",
        "_bulk_limit",
        "_clock",
        "_expired",
        "_in_use",
        "_interactive",
        "_interactive_run",
        "_is_draining",
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
        self._interactive: OrderedDict[int, Ticket] = OrderedDict()
        self._bulk: OrderedDict[int, Ticket] = OrderedDict()
        self._interactive_run = 0
        self._expired: list[Ticket] = []

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
        return len(self._interactive) + len(self._bulk)

    @property
    def is_draining(self) -> bool:
        """Return whether new tickets are turned away."""
        return self._is_draining

    @property
    def is_idle(self) -> bool:
        """Return whether nothing runs and nothing waits."""
        return not self._in_use and not self.waiting

    def admit(self, ticket: Ticket) -> Admission:
        """Give the ticket a slot, a place in the queue, or neither."""
        if self._is_draining:
            return _REFUSED_DRAINING
        if self._clock.monotonic() >= ticket.deadline:
            return _REFUSED_DEADLINE
        if self._in_use < self._slots:
            # a free slot means that no live ticket waits
            self._in_use += 1
            return _ADMITTED
        return self._enqueue(ticket)

    def release(self) -> Ticket | None:
        """Give a slot back; return the ticket that now holds it."""
        if self._in_use <= 0:
            raise UnheldSlot
        self._in_use -= 1
        return self._maybe_hand_over()

    def cancel(self, call_id: int) -> bool:
        """Remove a waiting ticket; return whether it was waiting."""
        if self._interactive.pop(call_id, None) is not None:
            return True
        return self._bulk.pop(call_id, None) is not None

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
        waiting = (*self._interactive.values(), *self._bulk.values())
        self._interactive.clear()
        self._bulk.clear()
        return waiting

    def take_expired(self) -> tuple[Ticket, ...]:
        """Return the tickets that were skipped as expired, once."""
        expired = tuple(self._expired)
        self._expired.clear()
        return expired

    def _enqueue(self, ticket: Ticket) -> Admission:
        if self.waiting >= self._queue_limit:
            return _REFUSED_FULL
        is_bulk = ticket.priority is CallPriority.BULK
        if is_bulk and len(self._bulk) >= self._bulk_limit:
            return _REFUSED_FULL
        queue = self._bulk if is_bulk else self._interactive
        if ticket.call_id in self._interactive or ticket.call_id in self._bulk:
            raise RepeatedTicket(ticket.call_id)
        queue[ticket.call_id] = ticket
        return Queued(self.waiting)

    def _maybe_hand_over(self) -> Ticket | None:
        if self._in_use >= self._slots:
            return None
        now = self._clock.monotonic()
        while (ticket := self._maybe_pop()) is not None:
            if now < ticket.deadline:
                self._note_turn(ticket)
                self._in_use += 1
                return ticket
            self._expired.append(ticket)
        self._check_idle()
        return None

    def _maybe_pop(self) -> Ticket | None:
        is_bulk_turn = self._interactive_run >= INTERACTIVE_RUN_LIMIT
        if self._bulk and (is_bulk_turn or not self._interactive):
            return self._bulk.popitem(last=False)[1]
        if self._interactive:
            return self._interactive.popitem(last=False)[1]
        return None

    def _note_turn(self, ticket: Ticket) -> None:
        if ticket.priority is CallPriority.BULK or not self._bulk:
            self._interactive_run = 0
        else:
            self._interactive_run += 1

    def _check_idle(self) -> None:
        if self._in_use < self._slots and self.waiting:
            raise IdleSlot

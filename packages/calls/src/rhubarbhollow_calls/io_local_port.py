"""The way to the upstream beside this node."""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from typing import TYPE_CHECKING, Final, Protocol

from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.io_crash_watch import BrokenCall, CrashWatch
from rhubarbhollow_calls.io_pool import ConnectionPool
from rhubarbhollow_calls.service_times import SERVICE_MARGIN, ServiceTimes
from rhubarbhollow_calls.slot_admission import (
    Admitted,
    Queued,
    Refused,
    SlotRefusal,
)
from rhubarbhollow_calls.slot_gate import SlotGate

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rhubarbhollow_calls.io_local_upstream import LocalUpstream
    from rhubarbhollow_calls.io_settings import CallSettings
    from rhubarbhollow_calls.quarantine import Quarantine
    from rhubarbhollow_calls.quarantine_message import QuarantineMessage
    from rhubarbhollow_calls.slot_ticket import Ticket
    from rhubarbhollow_wire.clock import Clock


MS_PER_SECOND: Final = 1000


class QuarantinePublisher(Protocol):
    """Send what a quarantine has learnt to the other nodes."""

    def __call__(self, message: QuarantineMessage) -> None:
        """Queue the message; must not block."""
        ...


class SlotUser(Protocol):
    """Wait for a slot."""

    def slot_granted(self) -> None:
        """Take a slot, which the user has to release."""
        ...

    def slot_refused(self, reason: SlotRefusal) -> None:
        """Learn that no slot can be had."""
        ...

    def slot_expired(self) -> None:
        """Learn that the deadline passed while waiting."""
        ...


class LocalPort:
    """Own the slots of, and the connections to, the local upstream."""

    def __init__(
        self,
        upstream: LocalUpstream,
        settings: CallSettings,
        clock: Clock,
        quarantine: Quarantine | None,
        publish: QuarantinePublisher,
    ) -> None:
        self.upstream = upstream
        self.quarantine = quarantine
        self.pool = ConnectionPool(
            upstream.host,
            upstream.port,
            upstream.connections,
            settings.upstream_idle_seconds,
            settings,
            settings.dialect,
        )
        self.dialect = settings.dialect
        self.upstream_name = upstream.name.encode()
        self._publish = publish
        self._crash_watch = CrashWatch(
            upstream, settings.connect_timeout_seconds
        )
        self._clock = clock
        self.service_times = ServiceTimes()
        self._gate = SlotGate(upstream.slots, settings.queue_limit, clock)
        self._waiting: dict[int, SlotUser] = {}
        self._granted: deque[SlotUser] = deque()
        self._is_granting = False

    @property
    def gate(self) -> SlotGate:
        """Return the gate, for reports."""
        return self._gate

    def now(self) -> float:
        """Return the time on this node's monotonic clock."""
        return self._clock.monotonic()

    def estimate(self, ticket: Ticket, route: bytes) -> Ticket:
        """Return the ticket with the time that it needs and has.

        A route without an objective waits as long as its deadline, and
        so does an interactive call: those that it waits for are few,
        bulk calls give way to it, and turning it away wastes the call
        that waits for its answer, if there is one.
        """
        if not ticket.objective_ms:
            return ticket
        objective = ticket.objective_ms / MS_PER_SECOND
        seconds = self.service_times.expect(route, objective)
        if ticket.priority is CallPriority.INTERACTIVE:
            start_by = ticket.deadline - seconds
        else:
            start_by = ticket.start_by - SERVICE_MARGIN * seconds
        return replace(ticket, service_seconds=seconds, start_by=start_by)

    def request_slot(self, user: SlotUser, ticket: Ticket) -> None:
        """Grant a slot now or later, or refuse it now."""
        match self._gate.admit(ticket):
            case Admitted():
                user.slot_granted()
            case Queued():
                self._waiting[ticket.call_id] = user
            case Refused(reason):
                user.slot_refused(reason)

    def cancel_slot(self, call_id: int) -> None:
        """Wait no more for a slot."""
        if self._waiting.pop(call_id, None) is not None:
            self._gate.cancel(call_id)

    def release_slot(self) -> None:
        """Give a slot back, perhaps to the next that waits."""
        ticket = self._gate.release()
        if ticket is not None:
            self._grant(ticket)
        for expired in self._gate.take_expired():
            user = self._waiting.pop(expired.call_id, None)
            if user is not None:
                user.slot_expired()
        for overdue in self._gate.take_overdue():
            user = self._waiting.pop(overdue.call_id, None)
            if user is not None:
                user.slot_refused(SlotRefusal.TOO_LATE)

    def is_same_process(self, upstream: LocalUpstream) -> bool:
        """Return whether only the sizes of ``upstream`` may be new."""
        known = self.upstream
        return (known.name, known.host, known.port, known.incarnation) == (
            upstream.name,
            upstream.host,
            upstream.port,
            upstream.incarnation,
        )

    def resize(self, upstream: LocalUpstream) -> None:
        """Take new numbers of slots and connections."""
        self.upstream = upstream
        self.pool.resize(upstream.connections)
        for ticket in self._gate.resize(upstream.slots):
            self._grant(ticket)

    def begin_drain(self) -> None:
        """Admit nothing new."""
        self._gate.begin_drain()

    def begin_leave(self) -> None:
        """Admit nothing new and send away what waits.

        The upstream has asked for no more work, so that a call which
        waits would have to start after that.
        """
        self._gate.begin_drain()
        for ticket in self._gate.take_waiting():
            user = self._waiting.pop(ticket.call_id, None)
            if user is not None:
                user.slot_refused(SlotRefusal.DRAINING)

    def close(self) -> None:
        """Open no more connections."""
        self.pool.close()
        self._crash_watch.close()

    def note_completed(self, fingerprint: bytes, epoch: int) -> None:
        """Tell the quarantine of a whole answer."""
        if self.quarantine is None:
            return
        for message in self.quarantine.completed(fingerprint, epoch):
            self._publish(message)

    def note_abandoned(self, fingerprint: bytes, epoch: int) -> None:
        """Tell the quarantine of an end that says nothing."""
        if self.quarantine is not None:
            self.quarantine.abandoned(fingerprint, epoch)

    def note_broken(self, fingerprint: bytes, epoch: int) -> None:
        """Find out whether the upstream crashed under a call."""
        call = BrokenCall(fingerprint, epoch)
        self._crash_watch.note_broken(call, self._judge_broken)

    def _judge_broken(
        self, calls: Sequence[BrokenCall], is_crashed: bool
    ) -> None:
        if self.quarantine is None:
            return
        if not is_crashed:
            for call in calls:
                self.quarantine.abandoned(call.fingerprint, call.epoch)
            return
        epoch = self.quarantine.epoch
        if all(call.epoch != epoch for call in calls):
            # late news of a crash that is known
            return
        # each crash is one of another run of the upstream
        incarnation = self.upstream.incarnation + epoch
        for report in self.quarantine.crashed(self.upstream.name, incarnation):
            self._publish(report)

    def _grant(self, ticket: Ticket) -> None:
        user = self._waiting.pop(ticket.call_id, None)
        if user is None:
            # cancelled by a call that was granted a slot just before
            self.release_slot()
            return
        # A user that fails at once releases its slot from within, so
        # the next is granted by the loop and not by recursion.
        self._granted.append(user)
        if self._is_granting:
            return
        self._is_granting = True
        while self._granted:
            self._granted.popleft().slot_granted()
        self._is_granting = False

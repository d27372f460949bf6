"""Slots of and connections to the local upstream."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING, Protocol

from rhubarbhollow_admission.nested_routes import NestedRoutes
from rhubarbhollow_admission.overload_watch import OverloadWatch
from rhubarbhollow_admission.route_times import RouteTimes
from rhubarbhollow_calls.backlog import MS_PER_SECOND
from rhubarbhollow_calls.io_crash_watch import BrokenCall, CrashWatch
from rhubarbhollow_calls.io_pool import ConnectionPool
from rhubarbhollow_calls.slot_admission import (
    Admitted,
    Queued,
    Refused,
    SlotRefusal,
)
from rhubarbhollow_calls.slot_estimate import estimate_ticket
from rhubarbhollow_calls.slot_gate import SlotGate
from rhubarbhollow_placement.upstream_load import RouteTime, UpstreamLoad
from rhubarbhollow_placement.work_speed import WorkSpeed

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rhubarbhollow_admission.overload_watch import OverloadChange
    from rhubarbhollow_calls.io_crash_watch import RunningCheckCallback
    from rhubarbhollow_calls.io_local_upstream import LocalUpstream
    from rhubarbhollow_calls.io_settings import CallSettings
    from rhubarbhollow_calls.quarantine import Quarantine
    from rhubarbhollow_calls.quarantine_message import QuarantineMessage
    from rhubarbhollow_calls.slot_ticket import Ticket
    from rhubarbhollow_wire.clock import Clock


class QuarantinePublisher(Protocol):
    """Send the messages of a quarantine to the other nodes."""

    def __call__(self, message: QuarantineMessage) -> None:
        """Queue the message; must not block."""
        ...


class SlotUser(Protocol):
    """Receive the result of a request for a slot."""

    def slot_granted(self) -> None:
        """Take the slot, which the user has to release."""
        ...

    def slot_refused(self, reason: SlotRefusal) -> None:
        """Handle the refusal of the slot."""
        ...

    def slot_expired(self) -> None:
        """Handle a deadline that passed while waiting for the slot."""
        ...


class LocalPort:
    """Manage the slots of and the connections to the local upstream."""

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
            clock,
            settings.dialect,
        )
        self.dialect = settings.dialect
        self.upstream_name = upstream.name.encode()
        self._publish = publish
        self._crash_watch = CrashWatch(
            upstream, settings.connect_timeout_seconds
        )
        self._clock = clock
        # At the usual speed of the upstream's machine.
        self.service_times = RouteTimes()
        self.speed = WorkSpeed()
        # By reason, tenant priority and rank of the route.
        self.rejections: Counter[tuple[SlotRefusal, int, int]] = Counter()
        self._overload = OverloadWatch()
        self._nested = NestedRoutes()
        # The origin of the calls that this node itself receives.
        self._service = settings.origin
        self._gate = SlotGate(upstream.slots, settings.queue_limit, clock)
        self._waiting: dict[int, SlotUser] = {}
        self._granted: deque[SlotUser] = deque()
        self._is_granting = False
        self._last_attempt_id = 0

    @property
    def gate(self) -> SlotGate:
        """Return the slot gate, to report its backlog."""
        return self._gate

    def now(self) -> float:
        """Return the time on this node's monotonic clock."""
        return self._clock.monotonic()

    def next_attempt_id(self) -> bytes:
        """Return an id that no other attempt of this port has."""
        self._last_attempt_id += 1
        return b"%x" % self._last_attempt_id

    def observe_overload(self) -> OverloadChange | None:
        """Return whether an overload has begun or ended, if it has."""
        rejected = sum(
            count
            for (reason, _, _), count in self.rejections.items()
            if reason is not SlotRefusal.DRAINING
        )
        return self._overload.observe(rejected, self._clock.monotonic())

    def is_nested(self, route: bytes, origin: bytes, depth: int) -> bool:
        """Record a call; return whether an upstream has made it.

        ``depth`` is the number of upstreams before this one, as far as
        they pass it on; see ``NestedRoutes`` for those that do not.
        """
        now = self._clock.monotonic()
        self._nested.record(route, origin, now)
        if depth > 0:
            return True
        return self._nested.is_nested(route, self._service, now)

    def estimate(self, ticket: Ticket, route: bytes) -> Ticket:
        """Return the ticket with its expected time and latest start.

        A call on a route without a latency objective may wait until its
        deadline.
        """
        now = self._clock.monotonic()
        factor = self.speed.factor(now)
        return estimate_ticket(ticket, self.service_times, route, now, factor)

    def record_service_time(
        self, route: bytes, seconds: float, now: float
    ) -> None:
        """Add the time that an answered call held its slot."""
        usual = seconds / self.speed.factor(now)
        self.service_times.record(route, usual, now)

    def record_cut(self, route: bytes, seconds: float, now: float) -> None:
        """Add the time after which a call was cut off."""
        usual = seconds / self.speed.factor(now)
        self.service_times.record_cut(route, usual, now)

    def load(self, *, with_times: bool = False) -> UpstreamLoad:
        """Return the load of the upstream now."""
        backlog = self._gate.backlog
        times: tuple[RouteTime, ...] = ()
        if with_times:
            times = tuple(
                RouteTime(
                    route.decode("latin-1"), round(MS_PER_SECOND * seconds)
                )
                for route, seconds in self.service_times.averages()
            )
        return UpstreamLoad(
            self.upstream.name,
            round(backlog.interactive_seconds * MS_PER_SECOND),
            round(backlog.bulk_seconds * MS_PER_SECOND),
            self.speed.percent,
            times,
        )

    def request_slot(self, user: SlotUser, ticket: Ticket) -> None:
        """Grant a slot, queue the request for one, or refuse it."""
        match self._gate.admit(ticket):
            case Admitted():
                user.slot_granted()
            case Queued():
                self._waiting[ticket.call_id] = user
            case Refused(reason):
                self._count(ticket, reason)
                user.slot_refused(reason)
        self._refuse_removed()

    def cancel_slot(self, call_id: int) -> None:
        """Remove a call from the queue for slots."""
        if self._waiting.pop(call_id, None) is not None:
            self._gate.cancel(call_id)

    def release_slot(self) -> None:
        """Release a slot and grant it to the next queued call."""
        ticket = self._gate.release()
        if ticket is not None:
            self._grant(ticket)
        self._refuse_removed()

    def _refuse_removed(self) -> None:
        """Refuse the calls that the gate has removed from its queue."""
        for expired in self._gate.take_expired():
            user = self._waiting.pop(expired.call_id, None)
            if user is not None:
                self._count(expired, SlotRefusal.DEADLINE)
                user.slot_expired()
        for overdue in self._gate.take_overdue():
            user = self._waiting.pop(overdue.call_id, None)
            if user is not None:
                reason = SlotRefusal.TOO_LATE
                if self._clock.monotonic() > overdue.latest_start:
                    reason = SlotRefusal.CANNOT_END
                self._count(overdue, reason)
                user.slot_refused(reason)

    def _count(self, ticket: Ticket, reason: SlotRefusal) -> None:
        self.rejections[reason, ticket.tenant_priority, ticket.rank] += 1

    def is_same_process(self, upstream: LocalUpstream) -> bool:
        """Return whether ``upstream`` is the same run of the process.

        Only its numbers of slots and connections may then differ.
        """
        known = self.upstream
        return (known.name, known.host, known.port, known.incarnation) == (
            upstream.name,
            upstream.host,
            upstream.port,
            upstream.incarnation,
        )

    def resize(self, upstream: LocalUpstream) -> None:
        """Apply new numbers of slots and connections."""
        self.upstream = upstream
        self.pool.resize(upstream.connections)
        for ticket in self._gate.resize(upstream.slots):
            self._grant(ticket)
        self._refuse_removed()

    def begin_drain(self) -> None:
        """Stop admitting new calls."""
        self._gate.begin_drain()

    def drain_and_refuse_queued(self) -> None:
        """Stop admitting new calls and refuse the queued ones.

        The upstream has asked for no more work, and a queued call would
        start only after that.
        """
        self._gate.begin_drain()
        for ticket in self._gate.take_waiting():
            user = self._waiting.pop(ticket.call_id, None)
            if user is not None:
                user.slot_refused(SlotRefusal.DRAINING)

    def close(self) -> None:
        """Close the pool and cancel a running crash check."""
        self.pool.close()
        self._crash_watch.close()

    def note_completed(self, fingerprint: bytes, epoch: int) -> None:
        """Report a complete response to the quarantine."""
        if self.quarantine is None:
            return
        for message in self.quarantine.completed(fingerprint, epoch):
            self._publish(message)

    def note_abandoned(self, fingerprint: bytes, epoch: int) -> None:
        """Report an end that is no evidence for or against a crash."""
        if self.quarantine is not None:
            self.quarantine.abandoned(fingerprint, epoch)

    def note_broken(self, fingerprint: bytes, epoch: int) -> None:
        """Check whether the upstream crashed during a call."""
        call = BrokenCall(fingerprint, epoch)
        self._crash_watch.note_broken(call, self._handle_crash_check)

    def confirm_running(self, callback: RunningCheckCallback) -> None:
        """Call back whether the upstream still runs."""
        self._crash_watch.confirm_running(callback)

    def _handle_crash_check(
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
            # A late report of a crash that is already known.
            return
        # Each crash ends one run of the upstream, so it is reported
        # with its own incarnation.
        incarnation = self.upstream.incarnation + epoch
        for report in self.quarantine.crashed(self.upstream.name, incarnation):
            self._publish(report)

    def _grant(self, ticket: Ticket) -> None:
        user = self._waiting.pop(ticket.call_id, None)
        if user is None:
            # Cancelled by another call that was granted a slot in the
            # same pass.
            self.release_slot()
            return
        # A user that fails synchronously releases its slot within
        # ``slot_granted``; the loop grants the next one without
        # recursion.
        self._granted.append(user)
        if self._is_granting:
            return
        self._is_granting = True
        while self._granted:
            self._granted.popleft().slot_granted()
        self._is_granting = False

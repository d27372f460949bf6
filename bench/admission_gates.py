"""The gates that the admission trial compares."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Protocol

from bench.admission_lane_gate import LaneGate
from rhubarbhollow_admission.route_times import RouteTimes
from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.service_times import SERVICE_MARGIN, ServiceTimes
from rhubarbhollow_calls.slot_admission import (
    Admission,
    Admitted,
    Queued,
    Refused,
    SlotRefusal,
)
from rhubarbhollow_calls.slot_estimate import estimate_ticket
from rhubarbhollow_calls.slot_gate import SlotGate
from rhubarbhollow_calls.slot_ticket import Ticket

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.admission_loads import LoadRoute
    from rhubarbhollow_wire.clock import Clock

_BUSY_SECONDS: Final = 0.08


@dataclass(frozen=True, slots=True)
class Ask:
    """One attempt of a call at a gate."""

    call_id: int
    route: LoadRoute
    tenant_priority: int
    is_nested: bool
    objective_at: float
    deadline: float


class Beside(Protocol):
    """The decisions of the node beside one upstream."""

    def request(self, ask: Ask) -> Admission:
        """Admit, queue or reject an attempt."""
        ...

    def release(self) -> int | None:
        """Release a slot; return the call that gets it."""
        ...

    def cancel(self, call_id: int) -> None:
        """Remove a call from the queue."""
        ...

    def take_rejected(self) -> list[int]:
        """Return and clear the calls removed from the queue."""
        ...

    def record(self, route: str, seconds: float, *, is_whole: bool) -> None:
        """Record the time that a call held its slot."""
        ...

    def retry_after(self, ask: Ask) -> float:
        """Return the seconds after which a client should come back."""
        ...

    @property
    def load(self) -> float:
        """Return the calls that run and wait."""
        ...


class CurrentGate:
    """The gate as it was before ``rhubarbhollow_admission``."""

    def __init__(self, slots: int, queue_limit: int, clock: Clock) -> None:
        self._gate = LaneGate(slots, queue_limit, clock)
        self._times = ServiceTimes()
        self._clock = clock

    def request(self, ask: Ask) -> Admission:
        """Admit, queue or reject an attempt."""
        route = ask.route
        is_bulk = route.rank >= 2
        seconds = self._times.estimate(route.name.encode(), route.objective)
        start_by = ask.deadline - seconds
        if is_bulk:
            start_by = ask.objective_at - SERVICE_MARGIN * seconds
        return self._gate.admit(
            Ticket(
                CallPriority.BULK if is_bulk else CallPriority.INTERACTIVE,
                ask.deadline,
                ask.call_id,
                rank=route.rank,
                objective_ms=round(route.objective * 1000),
                service_seconds=seconds,
                start_by=start_by,
            )
        )

    def release(self) -> int | None:
        """Release a slot; return the call that gets it."""
        ticket = self._gate.release()
        return None if ticket is None else ticket.call_id

    def cancel(self, call_id: int) -> None:
        """Remove a call from the queue."""
        self._gate.cancel(call_id)

    def take_rejected(self) -> list[int]:
        """Return and clear the calls removed from the queue."""
        gone = (*self._gate.take_expired(), *self._gate.take_overdue())
        return [ticket.call_id for ticket in gone]

    def record(self, route: str, seconds: float, *, is_whole: bool) -> None:
        """Record the time that a call held its slot."""
        if is_whole:
            self._times.record(route.encode(), seconds)

    def retry_after(self, ask: Ask) -> float:
        """Return the seconds after which a client should come back."""
        return min(_BUSY_SECONDS, ask.route.objective / 8)

    @property
    def load(self) -> float:
        """Return the calls that run and wait."""
        return self._gate.in_use + self._gate.waiting


class NewGate:
    """The gate that ``rhubarbhollow_admission`` decides for."""

    def __init__(self, slots: int, queue_limit: int, clock: Clock) -> None:
        self._gate = SlotGate(slots, queue_limit, clock)
        self._times = RouteTimes()
        self._clock = clock

    def request(self, ask: Ask) -> Admission:
        """Admit, queue or reject an attempt."""
        route = ask.route
        ticket = Ticket(
            CallPriority.BULK if route.rank >= 2 else CallPriority.INTERACTIVE,
            ask.deadline,
            ask.call_id,
            rank=route.rank,
            objective_ms=round(route.objective * 1000),
            start_by=ask.objective_at,
            tenant_priority=ask.tenant_priority,
            is_nested=ask.is_nested,
        )
        now = self._clock.monotonic()
        return self._gate.admit(
            estimate_ticket(ticket, self._times, route.name.encode(), now)
        )

    def release(self) -> int | None:
        """Release a slot; return the call that gets it."""
        ticket = self._gate.release()
        return None if ticket is None else ticket.call_id

    def cancel(self, call_id: int) -> None:
        """Remove a call from the queue."""
        self._gate.cancel(call_id)

    def take_rejected(self) -> list[int]:
        """Return and clear the calls removed from the queue."""
        gone = (*self._gate.take_expired(), *self._gate.take_overdue())
        return [ticket.call_id for ticket in gone]

    def record(self, route: str, seconds: float, *, is_whole: bool) -> None:
        """Record the time that a call held its slot."""
        now = self._clock.monotonic()
        if is_whole:
            self._times.record(route.encode(), seconds, now)
        else:
            self._times.record_cut(route.encode(), seconds, now)

    def retry_after(self, ask: Ask) -> float:
        """Return the seconds after which a client should come back."""
        return min(_BUSY_SECONDS, ask.route.objective / 8)

    @property
    def load(self) -> float:
        """Return the calls that run and wait."""
        return self._gate.in_use + self._gate.waiting


class OrderedGate:
    """One queue by a key; a call leaves it at its deadline."""

    def __init__(
        self,
        slots: int,
        queue_limit: int,
        clock: Clock,
        key: Callable[[Ask, float], float],
    ) -> None:
        self._slots = slots
        self._limit = queue_limit
        self._clock = clock
        self._key = key
        self._in_use = 0
        self._queue: list[tuple[float, int, float]] = []
        self._times = ServiceTimes()
        self._rejected: list[int] = []

    def request(self, ask: Ask) -> Admission:
        """Admit, queue or reject an attempt."""
        if self._in_use < self._slots:
            self._in_use += 1
            return Admitted()
        if len(self._queue) >= self._limit:
            return Refused(SlotRefusal.QUEUE_FULL)
        route = ask.route
        seconds = self._times.estimate(route.name.encode(), route.objective)
        key = self._key(ask, seconds)
        self._queue.append((key, ask.call_id, ask.deadline))
        return Queued(len(self._queue))

    def release(self) -> int | None:
        """Release a slot; return the call that gets it."""
        self._in_use -= 1
        now = self._clock.monotonic()
        while self._queue:
            first = min(self._queue)
            self._queue.remove(first)
            if now < first[2]:
                self._in_use += 1
                return first[1]
            self._rejected.append(first[1])
        return None

    def cancel(self, call_id: int) -> None:
        """Remove a call from the queue."""
        self._queue = [one for one in self._queue if one[1] != call_id]

    def take_rejected(self) -> list[int]:
        """Return and clear the calls removed from the queue."""
        rejected, self._rejected = self._rejected, []
        return rejected

    def record(self, route: str, seconds: float, *, is_whole: bool) -> None:
        """Record the time that a call held its slot."""
        if is_whole:
            self._times.record(route.encode(), seconds)

    def retry_after(self, ask: Ask) -> float:
        """Return the seconds after which a client should come back."""
        return min(_BUSY_SECONDS, ask.route.objective / 8)

    @property
    def load(self) -> float:
        """Return the calls that run and wait."""
        return self._in_use + len(self._queue)


def _by_arrival(ask: Ask, seconds: float) -> float:  # noqa: ARG001
    return ask.call_id


def _by_deadline(ask: Ask, seconds: float) -> float:  # noqa: ARG001
    return ask.deadline


def _by_slack(ask: Ask, seconds: float) -> float:
    return ask.objective_at - seconds


def _ordered(
    key: Callable[[Ask, float], float],
) -> Callable[[int, int, Clock], Beside]:
    def make(slots: int, queue_limit: int, clock: Clock) -> Beside:
        return OrderedGate(slots, queue_limit, clock, key)

    return make


POLICIES: Final[dict[str, Callable[[int, int, Clock], Beside]]] = {
    "lanes": CurrentGate,
    "arrival": _ordered(_by_arrival),
    "deadline": _ordered(_by_deadline),
    "slack": _ordered(_by_slack),
    "new": NewGate,
}

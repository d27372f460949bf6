"""Seeded trial of admission policies on a few gates, without a network.

Clients send calls to random nodes, which choose an upstream by the
calls that it has, try up to three others after a rejection, and then
reject the call with a Retry-After. Clients honour it up to a third of
their remaining time and come back once.
"""

from __future__ import annotations

import heapq
import itertools
from random import Random
from typing import TYPE_CHECKING, Final

from bench.admission_call import Call, Upstream
from bench.admission_figures import Outcome
from bench.admission_gates import POLICIES, Ask
from bench.admission_loads import (
    TAIL_FACTOR,
    TAIL_MEAN,
    TAIL_SHARE,
    Load,
    LoadRoute,
)
from rhubarbhollow_calls.slot_admission import Admitted, Queued
from rhubarbhollow_wire.clock import ManualClock

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_REJECTIONS: Final = 4
CLIENT_RETRIES: Final = 1
HELD_SHARE: Final = 1 / 8
SLOW_PERIOD: Final = 0.6
SLOW_FACTOR: Final = 2.5
TENANTS: Final = ("first", "second")


class Trial:
    """One load under one policy."""

    def __init__(self, load: Load, policy: str, seed: int) -> None:
        self.load = load
        self.random = Random(seed)
        self.clock = ManualClock()
        self.outcome = Outcome()
        mesh = load.mesh
        self.upstreams = {
            service.name: [
                Upstream(
                    index,
                    service.name,
                    speed,
                    service.slow_share,
                    POLICIES[policy](mesh.slots, mesh.queue_limit, self.clock),
                )
                for index, speed in enumerate(service.speeds)
            ]
            for service in mesh.services
        }
        self.routes = {route.name: route for route in mesh.routes}
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.serial = itertools.count()
        self.ids = itertools.count(1)
        self.waiting: dict[int, Call] = {}
        self.seed = seed

    def run(self) -> Outcome:
        """Play the load until every call has ended."""
        for route in self.routes.values():
            if route.rate:
                self._plan(route, 0.0, "", 1.0)
                if self.load.hot_factor:
                    factor = self.load.hot_factor
                    self._plan(route, self.load.begin, "hot", factor)
        while self.events:
            at, _, action = heapq.heappop(self.events)
            self.clock.advance(max(0.0, at - self.clock.monotonic()))
            action()
        return self.outcome

    def _at(self, moment: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (moment, next(self.serial), action))

    def _plan(
        self, route: LoadRoute, now: float, tenant: str, factor: float
    ) -> None:
        load = self.load
        is_surge = load.begin <= now < load.end
        rate = route.rate * load.mesh.scale * factor
        if is_surge and not tenant:
            rate *= load.factors.get(route.name, load.factors.get("*", 1.0))
        moment = now + self.random.expovariate(rate)
        last = load.end if tenant else load.seconds
        if moment >= last:
            return

        def arrive() -> None:
            self._plan(route, moment, tenant, factor)
            name = tenant or self.random.choice(TENANTS)
            priority = 1 if name == "second" else 0
            call = Call(route, name, priority, moment, moment + route.deadline)
            self._send(call)

        self._at(moment, arrive)

    # A call and its attempts.

    def _send(self, call: Call) -> None:
        """Start the first attempt, or the one after a return."""
        now = self.clock.monotonic()
        call.attempt_began = now
        call.attempt_deadline = min(call.deadline, now + call.route.timeout)
        call.tried = set()
        self._attempt(call)

    def _attempt(self, call: Call) -> None:
        choices = [
            one
            for one in self.upstreams[call.route.service]
            if one.index not in call.tried
        ]
        if not choices or len(call.tried) >= MAX_REJECTIONS:
            self._refuse(call)
            return
        drawn = self.random.sample(choices, min(2, len(choices)))
        upstream = min(drawn, key=lambda one: (one.gate.load + 1) / one.speed)
        call.tried.add(upstream.index)
        call.upstream = upstream
        call.attempt = next(self.ids)
        ask = self._ask(call)
        admission = upstream.gate.request(ask)
        if isinstance(admission, Admitted):
            self._start(call)
        elif isinstance(admission, Queued):
            self.waiting[call.attempt] = call
            attempt = call.attempt
            self._at(
                call.attempt_deadline, lambda: self._expire(call, attempt)
            )
        self._reject_removed(upstream)
        if not isinstance(admission, Admitted | Queued):
            self._attempt(call)

    def _ask(self, call: Call) -> Ask:
        return Ask(
            call.attempt,
            call.route,
            call.priority,
            call.parent is not None,
            call.attempt_began + call.route.objective,
            call.attempt_deadline,
        )

    def _expire(self, call: Call, attempt: int) -> None:
        """End an attempt that still waits at its deadline."""
        if self.waiting.pop(attempt, None) is None:
            return
        if call.upstream is not None:
            call.upstream.gate.cancel(attempt)
        self._refuse(call)

    def _reject_removed(self, upstream: Upstream) -> None:
        for attempt in upstream.gate.take_rejected():
            call = self.waiting.pop(attempt, None)
            if call is not None:
                self._attempt(call)

    def _start(self, call: Call) -> None:
        """Run the call: its own work, with nested calls in between."""
        now = self.clock.monotonic()
        upstream = call.upstream
        if upstream is None:
            return
        call.granted = now
        route = call.route
        factor = TAIL_FACTOR if self.random.random() < TAIL_SHARE else 1.0
        seconds = route.work / upstream.speed * factor / TAIL_MEAN
        seconds *= self.random.uniform(0.7, 1.3)
        if upstream.slow_share and self._is_slow(upstream, now):
            seconds *= SLOW_FACTOR
        nested = route.nested
        call.nested_left = 0
        if nested and self.random.random() < nested.probability:
            call.nested_left = nested.count
        call.part_seconds = seconds / (call.nested_left + 1)
        attempt = call.attempt
        self._at(call.attempt_deadline, lambda: self._cut(call, attempt))
        self._work(call, attempt)

    def _work(self, call: Call, attempt: int) -> None:
        now = self.clock.monotonic()
        self._at(now + call.part_seconds, lambda: self._worked(call, attempt))

    def _worked(self, call: Call, attempt: int) -> None:
        if call.attempt != attempt or call.granted is None:
            return
        if not call.nested_left or call.route.nested is None:
            self._finish(call)
            return
        call.nested_left -= 1
        route = self.routes[call.route.nested.route]
        now = self.clock.monotonic()
        deadline = min(now + route.deadline, call.attempt_deadline)
        self._send(Call(route, "nested", 0, now, deadline, call))

    def _is_slow(self, upstream: Upstream, now: float) -> bool:
        period = int(now / SLOW_PERIOD)
        draw = Random(
            f"{self.seed} {upstream.service} {upstream.index} {period}"
        )
        return draw.random() < upstream.slow_share

    def _leave_slot(self, call: Call, *, is_whole: bool) -> None:
        upstream, granted = call.upstream, call.granted
        call.granted = None
        call.attempt = 0
        if upstream is None or granted is None:
            return
        held = self.clock.monotonic() - granted
        upstream.gate.record(call.route.name, held, is_whole=is_whole)
        started = upstream.gate.release()
        if started is not None:
            self._start(self.waiting.pop(started))
        self._reject_removed(upstream)

    def _cut(self, call: Call, attempt: int) -> None:
        """End an attempt that holds its slot at its deadline."""
        if call.attempt != attempt or call.granted is None:
            return
        self._count(call, "wasted")
        self._leave_slot(call, is_whole=False)
        self._fail(call, is_safe=call.route.is_idempotent)

    def _finish(self, call: Call) -> None:
        self._leave_slot(call, is_whole=True)
        if call.parent is not None:
            parent = call.parent
            if parent.granted is not None:
                self._work(parent, parent.attempt)
            return
        seconds = self.clock.monotonic() - call.began
        is_on_time = seconds <= call.route.objective
        value = call.route.values[0 if is_on_time else 1]
        self._count(call, "on_time" if is_on_time else "late")
        self._count(call, "earned", value)
        self._end(call)

    def _refuse(self, call: Call) -> None:
        """Reject the call; its client may come back."""
        now = self.clock.monotonic()
        held = now - call.attempt_began
        if held > HELD_SHARE * call.route.objective:
            self._count(call, "held")
        if call.parent is not None:
            self._fail_parent(call)
            return
        upstream = call.upstream
        left = call.deadline - now
        if upstream is None or call.returns >= CLIENT_RETRIES or left <= 0:
            self._count(call, "rejected")
            self._lose(call)
            return
        delay = upstream.gate.retry_after(self._ask(call))
        delay *= self.random.uniform(0.5, 1.5)
        call.returns += 1
        self._at(now + min(delay, left / 3), lambda: self._send(call))

    def _fail(self, call: Call, *, is_safe: bool) -> None:
        """End a call that may have run; send it again if it may be."""
        if call.parent is not None:
            self._fail_parent(call)
            return
        left = call.deadline - self.clock.monotonic()
        if is_safe and call.returns < CLIENT_RETRIES and left > 0:
            call.returns += 1
            self._send(call)
            return
        self._count(call, "timed_out")
        self._lose(call)

    def _fail_parent(self, call: Call) -> None:
        parent = call.parent
        if parent is None or parent.granted is None:
            return
        self._count(parent, "wasted")
        self._leave_slot(parent, is_whole=False)
        self._fail(parent, is_safe=parent.route.is_idempotent)

    def _lose(self, call: Call) -> None:
        if call.returns:
            self._count(call, "failed_again")
        self._end(call)

    def _end(self, call: Call) -> None:
        self._count(call, "offered")
        self._count(call, "possible", call.route.values[0])

    def _count(self, call: Call, name: str, amount: float = 1) -> None:
        if call.parent is not None:
            return
        outcome = self.outcome
        places = [
            outcome.total,
            outcome.by_route[call.route.name],
            outcome.by_tenant[call.tenant],
        ]
        end = self.load.end
        if end + 1 <= call.began < end + 2:
            places.append(outcome.after_surge)
        for figures in places:
            setattr(figures, name, getattr(figures, name) + amount)

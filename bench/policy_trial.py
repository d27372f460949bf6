"""Seeded simulation that compares the call policy with a naive one.

The naive policy sends calls round-robin, does not limit the calls that
run at an upstream, and repeats failed and expired calls up to the limit
of attempts.
"""

from __future__ import annotations

import heapq
import random
import sys
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.call_result import CallResult
from rhubarbhollow_calls.endpoint import Endpoint, EndpointState
from rhubarbhollow_calls.endpoint_table import EndpointTable
from rhubarbhollow_calls.quarantine import Quarantine
from rhubarbhollow_calls.quarantine_verdict import MayRun
from rhubarbhollow_calls.refusal import Executed
from rhubarbhollow_calls.retry_budget import RetryBudget
from rhubarbhollow_calls.retry_decision import (
    AttemptView,
    Retry,
    decide_retry,
)
from rhubarbhollow_calls.slot_admission import Admitted, Queued
from rhubarbhollow_calls.slot_gate import SlotGate
from rhubarbhollow_calls.slot_ticket import Ticket
from rhubarbhollow_calls.upstream_selector import UpstreamSelector
from rhubarbhollow_wire.clock import ManualClock

if TYPE_CHECKING:
    from collections.abc import Callable

    from rhubarbhollow_calls.quarantine_message import QuarantineMessage

UPSTREAMS = 6
SLOTS = 9
NODES = 6
MEAN_SERVICE_SECONDS = 0.04
ATTEMPTS = 3
RESTART_SECONDS = 1.0
DATA_CENTRES = ("ilala", "kinondoni", "temeke")


@dataclass(frozen=True)
class Scenario:
    """Describe the load on six upstreams of nine slots, and faults.

    ``load`` is relative to the capacity of all slots; ``crash_every``
    and ``poison_every`` are intervals in seconds, 0 for never.
    """

    name: str
    load: float
    seconds: float = 12.0
    slow_upstream: bool = False
    crash_every: float = 0.0
    poison_every: float = 0.0


SCENARIOS = (
    Scenario("load 0.7", 0.7),
    Scenario("load 1.3", 1.3),
    Scenario("one slow", 0.7, slow_upstream=True),
    Scenario("crashes", 0.7, crash_every=1.5),
    Scenario("poison", 0.7, poison_every=0.3),
)


@dataclass(eq=False)
class Call:
    """Hold the state of one call over all its attempts.

    ``timeout`` and ``work`` are in seconds. A poison call crashes each
    upstream that executes it.
    """

    number: int
    node: int
    started_at: float
    timeout: float
    work: float
    priority: CallPriority
    is_idempotent: bool
    is_poison: bool
    tried: set[str] = field(default_factory=set)
    attempts: int = 0
    runs: int = 0
    is_done: bool = False
    upstream: Upstream | None = None
    sent_at: float = 0.0

    @property
    def fingerprint(self) -> bytes:
        """Return the fingerprint by which quarantines know the call."""
        return b"poison" if self.is_poison else b"%d" % self.number


@dataclass(eq=False)
class Upstream:
    """Hold an upstream, which slows down beyond its slots."""

    name: str
    slowdown: float
    gate: SlotGate
    quarantine: Quarantine
    running: dict[int, int] = field(default_factory=dict)
    calls: dict[int, Call] = field(default_factory=dict)
    incarnation: int = 1
    up_at: float = 0.0


@dataclass
class Figures:
    """Count the results of a run."""

    sent: dict[CallPriority, int]
    in_time: dict[CallPriority, int]
    latencies: list[float]
    attempts: int = 0
    double_runs: int = 0
    crashes: int = 0

    def share(self, priority: CallPriority) -> float:
        """Return the share of calls answered within their timeout."""
        return self.in_time[priority] / self.sent[priority]

    @property
    def p99_ms(self) -> float:
        """Return the 99th percentile of interactive latencies."""
        ordered = sorted(self.latencies)
        return ordered[int(len(ordered) * 0.99)] * 1000


class Trial:
    """Simulate a scenario under the call policy or the naive one."""

    def __init__(self, scenario: Scenario, seed: int, is_naive: bool) -> None:
        self.scenario = scenario
        self.is_naive = is_naive
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0
        self.round_robin_count = 0
        zero = dict.fromkeys(CallPriority, 0)
        self.figures = Figures(dict(zero), dict(zero), [])
        self.upstreams = {
            f"e{i}": Upstream(
                f"e{i}",
                10.0 if scenario.slow_upstream and not i else 1.0,
                SlotGate(SLOTS, 4 * SLOTS, self.clock),
                Quarantine(self.clock),
            )
            for i in range(UPSTREAMS)
        }
        self.budgets = [
            RetryBudget(0.2, 1.0, self.clock) for _ in range(NODES)
        ]
        self.selectors = [self._build_selector(node) for node in range(NODES)]

    def run(self) -> Figures:
        """Process all events and return the figures."""
        self._generate_call(0)
        for interval, event in (
            (self.scenario.crash_every, self._crash_one),
            (self.scenario.poison_every, self._send_poison),
        ):
            at = interval
            while interval and at < self.scenario.seconds:
                self._schedule(at, event)
                at += interval
        while self.events:
            at, _, event = heapq.heappop(self.events)
            self.clock.advance(max(0.0, at - self.clock.monotonic()))
            event()
        return self.figures

    def _build_selector(self, node: int) -> UpstreamSelector:
        selector = UpstreamSelector(
            DATA_CENTRES[node % 3], self.clock, self.rng
        )
        selector.replace(
            EndpointTable(1, [_build_endpoint(i) for i in range(6)])
        )
        return selector

    def _schedule(self, at: float, event: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (at, self.sequence, event))

    def _generate_call(self, number: int) -> None:
        now = self.clock.monotonic()
        if now >= self.scenario.seconds:
            return
        is_bulk = self.rng.random() < 0.3
        call = Call(
            number,
            self.rng.randrange(NODES),
            now,
            5.0 if is_bulk else 0.25,
            self.rng.expovariate(1 / MEAN_SERVICE_SECONDS),
            CallPriority.BULK if is_bulk else CallPriority.INTERACTIVE,
            self.rng.random() < 0.9,
            is_poison=False,
        )
        self.figures.sent[call.priority] += 1
        self._start_call(call)
        rate = self.scenario.load * UPSTREAMS * SLOTS / MEAN_SERVICE_SECONDS
        self._schedule(
            now + self.rng.expovariate(rate),
            lambda: self._generate_call(number + 1),
        )

    def _send_poison(self) -> None:
        now = self.clock.monotonic()
        poison = Call(-1, 0, now, 0.25, 0.01, CallPriority(0), True, True)
        self._start_call(poison)

    def _start_call(self, call: Call) -> None:
        self._schedule(
            call.started_at + call.timeout, lambda: self._expire_call(call)
        )
        self._send_attempt(call)

    def _send_attempt(self, call: Call) -> None:
        name = self._choose(call)
        if name is None:
            self._close_call(call)
            return
        call.attempts += 1
        call.tried.add(name)
        call.upstream = self.upstreams[name]
        call.sent_at = self.clock.monotonic()
        self.figures.attempts += 1
        self._admit_attempt(call, call.upstream)

    def _choose(self, call: Call) -> str | None:
        if self.is_naive:
            self.round_robin_count += 1
            return f"e{self.round_robin_count % UPSTREAMS}"
        selector = self.selectors[call.node]
        endpoint = selector.choose("s", call.tried)
        if endpoint is None:
            return None
        selector.started(endpoint.name)
        return endpoint.name

    def _admit_attempt(self, call: Call, upstream: Upstream) -> None:
        now = self.clock.monotonic()
        if upstream.up_at > now:
            self._end_attempt(call, CallResult.UNREACHABLE)
            return
        if self.is_naive:
            self._execute(call, upstream)
            return
        upstream.calls[call.number] = call
        verdict = upstream.quarantine.verdict(call.fingerprint)
        deadline = call.started_at + call.timeout
        ticket = Ticket(call.priority, deadline, call.number)
        admission = (
            upstream.gate.admit(ticket)
            if isinstance(verdict, MayRun)
            else None
        )
        match admission:
            case Admitted():
                self._execute(call, upstream)
            case Queued():
                pass
            case _:
                del upstream.calls[call.number]
                self._end_attempt(call, CallResult.REFUSED_NOT_RUN)

    def _execute(self, call: Call, upstream: Upstream) -> None:
        if not self.is_naive:
            verdict = upstream.quarantine.try_start(call.fingerprint)
            if not isinstance(verdict, MayRun):
                self._free_slot(call, upstream)
                self._end_attempt(call, CallResult.REFUSED_NOT_RUN)
                return
        now = self.clock.monotonic()
        call.runs += 1
        if call.runs == 2 and not call.is_idempotent:
            self.figures.double_runs += 1
        upstream.calls[call.number] = call
        upstream.running[call.number] = self.sequence
        if call.is_poison:
            self._schedule(now + 0.001, lambda: self._crash(upstream))
            return
        overload = max(1.0, len(upstream.running) / SLOTS)
        token = self.sequence
        self._schedule(
            now + call.work * upstream.slowdown * overload,
            lambda: self._complete_attempt(call, upstream, token),
        )

    def _complete_attempt(
        self, call: Call, upstream: Upstream, token: int
    ) -> None:
        if upstream.running.get(call.number) != token:
            return
        if not self.is_naive:
            self._broadcast(
                upstream.quarantine.completed(
                    call.fingerprint, _epoch(upstream)
                )
            )
        self._free_slot(call, upstream)
        if call.upstream is upstream:
            self._end_attempt(call, CallResult.ANSWERED)

    def _free_slot(self, call: Call, upstream: Upstream) -> None:
        upstream.running.pop(call.number, None)
        upstream.calls.pop(call.number, None)
        if self.is_naive:
            return
        ticket = upstream.gate.release()
        if ticket is not None:
            self._execute(upstream.calls[ticket.call_id], upstream)

    def _crash_one(self) -> None:
        self._crash(self.rng.choice(list(self.upstreams.values())))

    def _crash(self, upstream: Upstream) -> None:
        now = self.clock.monotonic()
        if upstream.up_at > now:
            return
        self.figures.crashes += 1
        upstream.up_at = now + RESTART_SECONDS
        calls, running = upstream.calls, upstream.running
        upstream.calls, upstream.running = {}, {}
        upstream.gate = SlotGate(SLOTS, 4 * SLOTS, self.clock)
        self._broadcast(
            upstream.quarantine.crashed(upstream.name, upstream.incarnation)
        )
        upstream.incarnation += 1
        for number, call in calls.items():
            was_running = number in running
            result = (
                CallResult.BROKEN if was_running else CallResult.UNREACHABLE
            )
            if call.upstream is upstream:
                self._end_attempt(call, result)

    def _broadcast(self, messages: tuple[QuarantineMessage, ...]) -> None:
        for message in messages:
            for upstream in self.upstreams.values():
                upstream.quarantine.merge(message)

    def _end_attempt(self, call: Call, result: CallResult) -> None:
        now = self.clock.monotonic()
        upstream = call.upstream
        assert upstream is not None
        call.upstream = None
        if not self.is_naive:
            selector = self.selectors[call.node]
            selector.finished(upstream.name, result, now - call.sent_at)
            if call.attempts == 1:
                self.budgets[call.node].record_call()
        if call.is_done:
            return
        if result is CallResult.ANSWERED:
            self._close_call(call, now - call.started_at)
        elif self._should_retry(call, result):
            self._send_attempt(call)
        else:
            self._close_call(call)

    def _should_retry(self, call: Call, result: CallResult) -> bool:
        if self.is_naive:
            return call.attempts < ATTEMPTS
        is_broken = result is CallResult.BROKEN
        remaining = call.started_at + call.timeout - self.clock.monotonic()
        attempt = AttemptView(
            executed=Executed.UNKNOWN if is_broken else Executed.NO,
            is_idempotent=call.is_idempotent,
            is_response_complete=False,
            is_response_started=False,
            is_from_deeper=False,
            is_body_kept=True,
            is_cancelled=False,
            tried=frozenset(call.tried),
            attempts_made=call.attempts,
            attempts_allowed=ATTEMPTS,
            remaining_ms=int(remaining * 1000),
            budget=self.budgets[call.node],
        )
        return isinstance(decide_retry(attempt), Retry)

    def _expire_call(self, call: Call) -> None:
        if call.is_done:
            return
        upstream = call.upstream
        if self.is_naive:
            # The upstream keeps executing the expired call while the
            # naive caller sends it again.
            call.upstream = None
            if call.attempts < ATTEMPTS and not call.is_poison:
                next_expiry = self.clock.monotonic() + call.timeout
                self._schedule(next_expiry, lambda: self._expire_call(call))
                self._send_attempt(call)
                return
        elif upstream is not None:
            if call.number in upstream.running:
                upstream.quarantine.abandoned(
                    call.fingerprint, _epoch(upstream)
                )
                self._free_slot(call, upstream)
            else:
                upstream.gate.cancel(call.number)
                upstream.calls.pop(call.number, None)
            call.is_done = True
            self._end_attempt(call, CallResult.CANCELLED)
        call.is_done = True

    def _close_call(self, call: Call, seconds: float | None = None) -> None:
        call.is_done = True
        if seconds is None or seconds > call.timeout or call.is_poison:
            return
        self.figures.in_time[call.priority] += 1
        if call.priority is CallPriority.INTERACTIVE:
            self.figures.latencies.append(seconds)


def _epoch(upstream: Upstream) -> int:
    verdict = upstream.quarantine.verdict(b"")
    assert isinstance(verdict, MayRun)
    return verdict.epoch


def _build_endpoint(index: int) -> Endpoint:
    data_centre = DATA_CENTRES[index % 3]
    up = EndpointState.UP
    return Endpoint(
        f"e{index}", "s", data_centre, "n", "h", 1, SLOTS, up, 1, -99.0
    )


def print_policy() -> None:
    """Print the figures of each scenario under both policies."""
    for scenario in SCENARIOS:
        for is_naive in (True, False):
            figures = Trial(scenario, 1, is_naive).run()
            calls = sum(figures.sent.values())
            sys.stdout.write(
                f"{scenario.name:10} {'naive' if is_naive else 'ours':6}"
                f" interactive {figures.share(CallPriority(0)):.4f}"
                f" p99 {figures.p99_ms:6.1f} ms"
                f" bulk {figures.share(CallPriority(1)):.4f}"
                f" attempts/call {figures.attempts / calls:.3f}"
                f" double runs {figures.double_runs}"
                f" crashes {figures.crashes}\n",
            )

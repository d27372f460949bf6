"""A rollout among many nodes on a virtual clock, without a network.

Calls arrive at random, go to the old or the new version as each node
decides, and take as long as the upstream's machine needs. Reports reach
the leader through control instances with the delays of the system.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from rhubarbhollow_rollout.attempt import AttemptEnd
from rhubarbhollow_rollout.command import SetExposure, StartRollout
from rhubarbhollow_rollout.ledger import RolloutLedger
from rhubarbhollow_rollout.messages import RolloutEvidence, RolloutExposure
from rhubarbhollow_rollout.node import NodeRollouts
from rhubarbhollow_rollout.planner import RolloutPlanner
from rhubarbhollow_rollout.record import RolloutState
from rhubarbhollow_rollout.view import to_view
from rhubarbhollow_wire.clock import ManualClock

if TYPE_CHECKING:
    from collections.abc import Callable

    from rhubarbhollow_rollout.candidates import Division

SERVICE = "frame"
TICK = 0.05
REPORT_SECONDS = 0.5
SPEEDS = (0.6, 0.8, 1.0, 1.3, 1.6)
# Name, calls a second, seconds of work; as in the archive mesh.
ROUTES = (
    ("catalogue-browse", 186.0, 0.122),
    ("time-claim", 84.0, 0.161),
    ("survey-pull", 84.0, 0.305),
    ("plate-register", 24.0, 0.1),
)


@dataclass
class FakeUpstream:
    name: str
    version: str
    data_centre: str
    incarnation: int
    speed: float
    in_flight: int = 0


@dataclass
class Fault:
    """What is wrong with the new version."""

    share: float = 0.0
    slowdown: float = 1.0
    begins_at: float = 0.0
    route: str = ""
    min_in_flight: int = 0

    def applies(
        self, route: str, at: float, in_flight: int, random: Random
    ) -> bool:
        return (
            at >= self.begins_at
            and self.route in ("", route)
            and in_flight >= self.min_in_flight
            and random.random() < self.share
        )


@dataclass
class Result:
    state: RolloutState = RolloutState.RUNNING
    decided_at: float = 0.0
    total: int = 0
    sent_new: int = 0
    bad: int = 0
    fiftieth_bad_at: float = float("inf")
    last_sent_at: float = 0.0

    @property
    def late_by(self) -> float:
        """Seconds from the 50th bad answer to the last call sent."""
        return max(0.0, self.last_sent_at - self.fiftieth_bad_at)


def fixed_steps(elapsed: float, duration: float) -> int:
    """Return the share of the baseline, whatever the evidence."""
    steps = ((0.2, 50), (0.4, 100), (0.6, 250), (0.8, 500))
    part = elapsed / duration
    return next((share for until, share in steps if part < until), 1000)


@dataclass
class Day:
    seed: int
    fault: Fault
    duration: float = 30.0
    nodes: int = 30
    slow_day: bool = False
    # Whether 15 % of the upstreams, others every 0.6 s, are slowed down
    # by a factor of 2.5, as in the tournament mesh.
    has_slowdowns: bool = False
    uses_evidence: bool = True
    # When a third of the nodes is cut off, and for how many seconds.
    cuts: tuple[tuple[float, float], ...] = ()
    restarts: tuple[float, ...] = ()
    # Times at which another control instance becomes the leader.
    new_leaders: tuple[float, ...] = ()
    result: Result = field(default_factory=Result)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.clock = ManualClock()
        self.ledger = RolloutLedger()
        self.upstreams = [
            FakeUpstream(
                f"n{index}/{version}",
                version,
                f"dc{index % 3}",
                index + 100 * (version == "v2"),
                SPEEDS[index % len(SPEEDS)],
            )
            for version in ("v1", "v2")
            for index in range(self.nodes)
        ]
        self.members = [self._start_node() for _ in range(self.nodes)]
        self.totals: dict[tuple[int, str], RolloutEvidence] = {}
        self.ended: list[tuple[float, int, Callable[[], None]]] = []
        self.order = 0
        self.slowed: set[str] = set()
        self.divisions: dict[tuple[int, int], Division] = {}
        # Keeps replaced nodes alive, so that no id is used twice.
        self.replaced: list[NodeRollouts] = []
        self.planner: RolloutPlanner | None = None

    def _start_node(self) -> NodeRollouts:
        node = NodeRollouts(self.clock, self.random)
        node.divide(SERVICE, [u for u in self.upstreams if u.version == "v1"])
        return node

    def run(self) -> Result:
        self.ledger.apply(
            StartRollout(SERVICE, "v2", round(self.duration * 1000), 0)
        )
        while self.clock.monotonic() < self.duration:
            self._step()
        return self.result

    def _step(self) -> None:
        now = self.clock.monotonic()
        ticks = round(now / TICK)
        if any(abs(now - at) < TICK / 2 for at in self.restarts):
            index = self.random.randrange(self.nodes)
            self.replaced.append(self.members[index])
            self.members[index] = self._start_node()
        for index in range(self.nodes):
            due = (ticks + index) % round(REPORT_SECONDS / TICK) == 0
            if due and not self._is_cut(index, now):
                self._report(index)
        if ticks % 2 == 0:
            self._lead(now)
        if self.has_slowdowns and ticks % round(0.6 / TICK) == 0:
            names = [upstream.name for upstream in self.upstreams]
            count = round(0.15 * len(names))
            self.slowed = set(self.random.sample(names, count))
        self._call_all(now)
        self.clock.advance(TICK)
        while self.ended and self.ended[0][0] <= self.clock.monotonic():
            heapq.heappop(self.ended)[2]()

    def _is_cut(self, index: int, now: float) -> bool:
        return index % 3 == 0 and any(
            at <= now < at + seconds for at, seconds in self.cuts
        )

    def _report(self, index: int) -> None:
        node = self.members[index]
        report = node.next_report()
        for item in report.evidence:
            key = index % 3, item.route
            known = self.totals.get(key)
            self.totals[key] = item if known is None else add(known, item)
        record = self.ledger.records[SERVICE]
        node.accept(RolloutExposure(report.sequence, 100, (to_view(record),)))

    def _lead(self, now: float) -> None:
        record = self.ledger.records[SERVICE]
        if not record.is_running:
            return
        if not self.uses_evidence:
            share = fixed_steps(now, self.duration)
            self.ledger.apply(SetExposure(SERVICE, record.number, share, 0, 0))
            return
        changed = any(abs(now - at) < TICK for at in self.new_leaders)
        if self.planner is None or changed:
            self.planner = RolloutPlanner(record, now, now)
        for control in range(3):
            totals = tuple(
                item for key, item in self.totals.items() if key[0] == control
            )
            self.planner.observe(f"c{control}", 1, totals)
        command = self.planner.plan(record, now)
        if command is None:
            return
        self.ledger.apply(command)
        record = self.ledger.records[SERVICE]
        if not record.is_running:
            self.result.state = record.state
            self.result.decided_at = now
        for index, node in enumerate(self.members):
            if not self._is_cut(index, now):
                node.accept(RolloutExposure(0, 0, (to_view(record),)))

    def _call_all(self, now: float) -> None:
        for route, rate, work in ROUTES:
            for _ in range(poisson(rate * TICK, self.random)):
                self._call(route, work, now)

    def _divide(self, node: NodeRollouts) -> Division:
        key = id(node), node.generation
        if key not in self.divisions:
            division = node.divide(SERVICE, self.upstreams)
            assert division is not None
            self.divisions[key] = division
        return self.divisions[key]

    def _call(self, route: str, work: float, now: float) -> None:
        node = self.members[self.random.randrange(self.nodes)]
        division = self._divide(node)
        is_new = bool(division.new) and node.take(SERVICE)
        names = division.new if is_new else division.stable
        allowed = [u for u in self.upstreams if u.name in names]
        upstream = min(
            self.random.sample(allowed, min(2, len(allowed))),
            key=lambda each: each.in_flight,
        )
        seconds = work / upstream.speed * self.random.lognormvariate(0, 0.25)
        if upstream.name in self.slowed:
            seconds *= 2.5
        if self.slow_day:
            seconds *= 1 + 3 * ((now % 10) / 10)
        end = AttemptEnd.ANSWERED
        if self.slow_day and self.random.random() < 0.05:
            end = AttemptEnd.FAILED
        is_bad = False
        if upstream.version == "v2":
            is_bad = self.fault.applies(
                route, now, upstream.in_flight, self.random
            )
            self.result.sent_new += 1
            self.result.last_sent_at = now
        self.result.total += 1
        if is_bad and self.fault.slowdown > 1:
            seconds *= self.fault.slowdown
        elif is_bad:
            end = AttemptEnd.FAILED
        upstream.in_flight += 1

        def finish() -> None:
            upstream.in_flight -= 1
            if is_bad:
                self.result.bad += 1
                if self.result.bad == 50:
                    self.result.fiftieth_bad_at = self.clock.monotonic()
            node.record(
                SERVICE,
                upstream.version,
                route,
                upstream.name,
                end,
                seconds,
                is_warm=True,
            )

        self.order += 1
        heapq.heappush(self.ended, (now + seconds, self.order, finish))


def add(first: RolloutEvidence, second: RolloutEvidence) -> RolloutEvidence:
    counts = {
        name: getattr(first, name) + getattr(second, name)
        for name in RolloutEvidence.__slots__
        if name.startswith(("stable_", "new_"))
    }
    return RolloutEvidence(first.number, first.route, **counts)


def poisson(mean: float, random: Random) -> int:
    count, product = 0, random.random()
    limit = 2.718281828459045**-mean
    while product > limit:
        count += 1
        product *= random.random()
    return count

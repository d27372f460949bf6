"""Placement on upstreams of uneven and changing speed, by policy.

The load: the nodes of one data centre share upstreams whose speeds
differ, and a part of which is 2.5 times as slow for 0.6 s at a time.
Each node places few calls on each upstream.
"""

import heapq
import itertools
from dataclasses import dataclass, field
from random import Random

import pytest

from rhubarbhollow_calls.backlog import Backlog
from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.endpoint import Endpoint, EndpointState
from rhubarbhollow_calls.placement import place_call
from rhubarbhollow_calls.placement_needs import PlacementNeeds
from rhubarbhollow_calls.upstream_evidence import UpstreamEvidence
from rhubarbhollow_placement.upstream_load import RouteTime, UpstreamLoad

NODES = 26
UPSTREAMS = 12
SLOTS = 5
SPEEDS = (0.6, 1.0, 1.6)
SLOW_FACTOR = 2.5
SLOW_SHARE = 0.15
SLOW_SECONDS = 0.6
WORK_SECONDS = 0.178
OBJECTIVE_SECONDS = 0.765
REPORT_SECONDS = 0.2
CALLS = 12_000


@dataclass
class Server:
    speed: float
    random: Random
    running: int = 0
    queue: list = field(default_factory=list)
    work_done: float = 0.0
    slow_at: int = -1
    is_slow: bool = False

    def factor(self, now):
        """Return how many times as long as usual work takes now."""
        period = int(now / SLOW_SECONDS)
        if period != self.slow_at:
            self.slow_at = period
            self.is_slow = self.random.random() < SLOW_SHARE
        return SLOW_FACTOR if self.is_slow else 1.0

    def backlog(self):
        running = self.running * WORK_SECONDS * self.speed / SLOTS
        waiting = len(self.queue) * WORK_SECONDS * self.speed
        return (running + waiting) / SLOTS


class Trial:
    """Play one policy on the load; ``place`` returns an index."""

    def __init__(self, place, utilization, reports=False):
        self.random = Random(7)
        self.place = place
        self.reports = reports
        self.servers = [
            Server(SPEEDS[i % 3], Random(100 + i)) for i in range(UPSTREAMS)
        ]
        self.evidence = [
            [
                UpstreamEvidence(endpoint(i), is_local=True)
                for i in range(UPSTREAMS)
            ]
            for _ in range(NODES)
        ]
        capacity = sum(SLOTS / s.speed for s in self.servers) / WORK_SECONDS
        self.rate = utilization * capacity / (1 + SLOW_SHARE)
        self.seconds = []
        self.events = []
        self.order = itertools.count()

    def at(self, time, action, *args):
        heapq.heappush(self.events, (time, next(self.order), action, args))

    def run(self):
        self.at(0.0, self.arrive)
        if self.reports:
            self.at(0.0, self.report)
        while self.events and len(self.seconds) < CALLS:
            now, _, action, args = heapq.heappop(self.events)
            action(now, *args)
        return self

    def arrive(self, now):
        node = self.random.randrange(NODES)
        index = self.place(self, node, now)
        evidence = self.evidence[node][index]
        evidence.in_flight += 1
        share = WORK_SECONDS / SLOTS
        evidence.sent_backlog = evidence.sent_backlog.plus(
            CallPriority.INTERACTIVE, share
        )
        spread = self.random.lognormvariate(-0.11, 0.47)
        call = (now, node, index, spread * WORK_SECONDS)
        server = self.servers[index]
        if server.running < SLOTS:
            self.start(now, call)
        else:
            server.queue.append(call)
        self.at(now + self.random.expovariate(self.rate), self.arrive)

    def start(self, now, call):
        server = self.servers[call[2]]
        server.running += 1
        held = call[3] * server.speed * server.factor(now)
        server.work_done += held
        self.at(now + held, self.end, call, held)

    def end(self, now, call, held):
        began, node, index, _ = call
        server = self.servers[index]
        server.running -= 1
        self.seconds.append(now - began)
        if server.queue:
            self.start(now, server.queue.pop(0))
        evidence = self.evidence[node][index]
        evidence.in_flight -= 1
        evidence.observe_slowness(held / WORK_SECONDS)
        evidence.observe_backlog(Backlog(server.backlog()), now)

    def report(self, now):
        for index, server in enumerate(self.servers):
            load = UpstreamLoad(
                str(index),
                round(1_000 * server.backlog()),
                0,
                round(100 * server.factor(now)),
                (RouteTime("r", round(1_000 * WORK_SECONDS * server.speed)),),
            )
            for node in self.evidence:
                node[index].observe_load(load, now, now)
        self.at(now + REPORT_SECONDS, self.report)

    @property
    def late_share(self):
        late = sum(each > OBJECTIVE_SECONDS for each in self.seconds)
        return late / len(self.seconds)

    @property
    def busiest_to_mean(self):
        work = [server.work_done for server in self.servers]
        return max(work) * len(work) / sum(work)


def endpoint(index):
    return Endpoint(
        name=str(index),
        service="s",
        data_centre="dc",
        node=str(index),
        peer_host="h",
        peer_port=1,
        slots=SLOTS,
        state=EndpointState.UP,
        incarnation=1,
        joined_at=-100.0,
    )


def by_evidence(trial, node, now):
    """Place as the product does, on what the node has learned."""
    needs = PlacementNeeds(
        WORK_SECONDS, OBJECTIVE_SECONDS, CallPriority.INTERACTIVE, "r"
    )
    members = trial.evidence[node]
    return members.index(place_call(members, (), needs, now, trial.random))


def two_choices(trial, node, now):
    first, second = trial.random.sample(range(UPSTREAMS), 2)
    members = trial.evidence[node]
    return min(first, second, key=lambda i: members[i].in_flight)


def least_outstanding(trial, node, now):
    members = trial.evidence[node]
    least = min(each.in_flight for each in members)
    return trial.random.choice(
        [i for i in range(UPSTREAMS) if members[i].in_flight == least]
    )


def with_full_knowledge(trial, node, now):
    """The bound: the true state and speed of each upstream now."""

    def completion(index):
        server = trial.servers[index]
        ahead = max(0, server.running + len(server.queue) - SLOTS + 1)
        return (1 + ahead / SLOTS) * server.speed * server.factor(now)

    return min(range(UPSTREAMS), key=completion)


@pytest.mark.parametrize("utilization", [0.65, 0.8, 0.95])
def test_reported_speeds_bring_calls_back_in_time(utilization):
    """Guard against placing by evidence that is older than the load."""
    trials = {
        "two choices": Trial(two_choices, utilization),
        "least outstanding": Trial(least_outstanding, utilization),
        "without reports": Trial(by_evidence, utilization),
        "with reports": Trial(by_evidence, utilization, reports=True),
        "full knowledge": Trial(with_full_knowledge, utilization),
    }
    late = {name: trial.run().late_share for name, trial in trials.items()}
    assert late["with reports"] < 0.6 * late["without reports"], late
    assert late["with reports"] < 0.6 * late["two choices"], late
    assert late["with reports"] < 0.6 * late["least outstanding"], late

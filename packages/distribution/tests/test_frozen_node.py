"""A node that was frozen while releases followed each other.

Positions, their activation and the delays of both directions are drawn
from a seed; the feed and the holder are the real ones.
"""

from __future__ import annotations

import random
from collections import deque

import pytest
from result import Err, Ok
from small_releases import Releases, hello_of, holder_at, view_at

from rhubarbhollow_distribution.activate import Activate
from rhubarbhollow_distribution.active_report import ActiveReport
from rhubarbhollow_distribution.endpoint_store import EndpointStore
from rhubarbhollow_distribution.feed import NodeFeed
from rhubarbhollow_distribution.feed_settings import FeedSettings
from rhubarbhollow_distribution.holder import MAX_STAGED_RELEASES
from rhubarbhollow_distribution.stage import Stage
from rhubarbhollow_distribution.stage_fault import NeedsDifference
from rhubarbhollow_distribution.stage_request import StageRequest
from rhubarbhollow_wire.clock import ManualClock

STEP_SECONDS = 0.005
STORM_SECONDS = 1.5
FROZEN_SECONDS = (0.3, 1.3)
# The platform requires a reachable node to be level by then.
LEVEL_SECONDS = 2.0
SETTINGS = FeedSettings(coalescing_seconds=0.005, heartbeat_seconds=0.4)


class Play:
    """A feed and its node, with a queue each way."""

    def __init__(self, seed, rate):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.rate = rate
        self.releases = Releases(1)
        self.active = 1
        self.holder = holder_at(self.clock, 1, active=1)
        self.connect()

    def connect(self):
        self.to_node, self.to_control = deque(), deque()
        self.feed = NodeFeed(
            hello_of(self.holder),
            data_centre="ilala",
            settings=SETTINGS,
            releases=self.releases,
            endpoints=EndpointStore("own", 1, self.clock),
            clock=self.clock,
        )

    def run(self, seconds, *, is_storm, is_frozen=False):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            if is_storm and self.rng.random() < self.rate * STEP_SECONDS:
                self.releases.latest += self.rng.randint(1, 2)
            # Activations come in jumps, as others report releases.
            if not is_storm or self.rng.random() < 0.1:
                self.active = self.releases.latest
            self.send()
            if not is_frozen:
                self.deliver()
            assert len(self.holder.staged_positions) <= MAX_STAGED_RELEASES

    def send(self):
        view = view_at(self.releases.latest, self.active)
        due = self.clock.monotonic() + self.rng.uniform(0, 0.02)
        while (message := self.feed.next_message(view)) is not None:
            self.to_node.append((due, message))

    def deliver(self):
        now = self.clock.monotonic()
        while self.to_node and self.to_node[0][0] <= now:
            for reply in self.answer(self.to_node.popleft()[1]):
                self.to_control.append((now + 0.01, reply))
        if self.rng.random() < 0.2:
            self.call(now)
        while self.to_control and self.to_control[0][0] <= now:
            self.feed.accept(self.to_control.popleft()[1])

    def call(self, now):
        """Let a call arrive from a node that is at the one in force."""
        before = self.holder.active_position
        self.holder.observe_position(self.active)
        if self.holder.active_position > before:
            report = ActiveReport(self.holder.active_position)
            self.to_control.append((now + 0.01, report))

    def answer(self, message):
        holder = self.holder
        match message:
            case Stage():
                match holder.stage(message):
                    case Ok(report):
                        return [report]
                    case Err(NeedsDifference(position, digest)):
                        return [StageRequest(position, digest)]
            case Activate(position=position, digest=digest):
                if holder.activate(position, digest).is_ok():
                    return [ActiveReport(holder.active_position)]
                request = (holder.staged_position, holder.held_digest)
                return [StageRequest(*request)]
        return []


@pytest.mark.parametrize("is_reconnected", [False, True])
@pytest.mark.parametrize("rate", [5, 40, 110, 200])
@pytest.mark.parametrize("seed", range(8))
def test_a_node_that_was_frozen_is_soon_level(seed, rate, is_reconnected):
    """Guard against releases that a node or its source waits for."""
    play = Play(seed, rate)
    play.run(0.5, is_storm=True)
    frozen = play.rng.uniform(*FROZEN_SECONDS)
    play.run(frozen, is_storm=True, is_frozen=True)
    if is_reconnected:
        play.connect()
    play.run(STORM_SECONDS - frozen, is_storm=True)
    play.run(LEVEL_SECONDS, is_storm=False)
    assert play.holder.active_position == play.releases.latest

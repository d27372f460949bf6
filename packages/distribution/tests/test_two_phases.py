"""Two-phase activation compared with activation on receipt.

Calls pass several nodes while releases are distributed.  A call goes
back if a later node routes it at a lower position than an earlier one,
and a caller goes back if a later call of its own starts at a lower one.
"""

from __future__ import annotations

import logging
import random
from collections import Counter

import pytest
from small_releases import holder_at, resources_at, stage_at

from rhubarbhollow_distribution.position_check import PositionCheck
from rhubarbhollow_wire.clock import ManualClock

NODE_COUNT = 30
RELEASES = 40
CALLS_PER_RELEASE = 200
HOP_SECONDS = 0.0002
# Staging takes as long as the slowest link, activation one message.
STAGE_SECONDS = (0.002, 0.3)
ACTIVATE_SECONDS = (0.0005, 0.01)
CALL_SPAN_SECONDS = 0.4

_log = logging.getLogger(__name__)


class Fleet:
    """Simulate nodes with a schedule of staging and activation."""

    def __init__(self, seed, *, has_two_phases):
        self.rng = random.Random(seed)
        self.has_two_phases = has_two_phases
        clock = ManualClock()
        self.holders = [
            holder_at(clock, 1, active=1) for _ in range(NODE_COUNT)
        ]
        self.seen = Counter()

    def release(self, position):
        """Distribute one release while calls pass through the nodes."""
        events = self._schedule(position)
        for _ in range(CALLS_PER_RELEASE):
            begin = self.rng.uniform(0, CALL_SPAN_SECONDS)
            path = self.rng.sample(range(NODE_COUNT), self.rng.randint(2, 18))
            call = {"position": 0, "is_behind": False}
            events += [
                (begin + hop * HOP_SECONDS, self._hop, (node, call))
                for hop, node in enumerate(path)
            ]
        for _, action, arguments in sorted(events, key=lambda each: each[0]):
            action(*arguments)

    def _schedule(self, position):
        staged_at = [self.rng.uniform(*STAGE_SECONDS) for _ in self.holders]
        events = [
            (at, self._stage, (node, position))
            for node, at in enumerate(staged_at)
        ]
        activated_at = staged_at
        if self.has_two_phases:
            activated_at = [
                max(staged_at) + self.rng.uniform(*ACTIVATE_SECONDS)
                for _ in self.holders
            ]
        events += [
            (at, self._activate, (node, position))
            for node, at in enumerate(activated_at)
        ]
        return events

    def _stage(self, node, position):
        message = stage_at(position, position - 1)
        self.holders[node].stage(message).unwrap()

    def _activate(self, node, position):
        digest = resources_at(position).digest
        self.holders[node].activate(position, digest).unwrap()

    def _hop(self, node, call):
        holder = self.holders[node]
        if call["is_behind"]:
            return
        if self.has_two_phases and call["position"]:
            check = holder.observe_position(call["position"])
            call["is_behind"] = check is PositionCheck.BEHIND
            self.seen["refused"] += call["is_behind"]
        position = holder.active_position
        if not call["is_behind"] and call["position"]:
            self.seen["back"] += position < call["position"]
            self.seen["two"] += position != call["position"]
        self.seen["hops"] += 1
        call["position"] = max(call["position"], position)


@pytest.mark.parametrize("seed", range(3))
def test_calls_never_go_back_with_two_phases(seed):
    """Calls go back often in one phase, but never in two phases."""
    seen = {}
    for has_two_phases in (False, True):
        fleet = Fleet(seed, has_two_phases=has_two_phases)
        for position in range(2, RELEASES + 2):
            fleet.release(position)
        seen[has_two_phases] = fleet.seen
    one_phase, two_phases = seen[False], seen[True]
    _log.info("one phase %s, two phases %s", dict(one_phase), dict(two_phases))
    assert one_phase["back"] > 1000
    assert two_phases["back"] == two_phases["refused"] == 0
    assert two_phases["two"] * 100 < one_phase["two"]

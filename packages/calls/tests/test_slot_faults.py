"""The gate when its node or its upstream is in trouble."""

import heapq
from random import Random

import pytest

from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.io_local_port import LocalPort
from rhubarbhollow_calls.io_local_upstream import LocalUpstream
from rhubarbhollow_calls.io_settings import CallSettings
from rhubarbhollow_calls.slot_ticket import Ticket
from rhubarbhollow_wire.clock import ManualClock

SLOTS = 5
WORK = 0.2
OBJECTIVE = 0.6
TIMEOUT = 1.5


class Caller:
    """One call; records each answer that it gets."""

    def __init__(self, play, call_id, began):
        self.play, self.call_id, self.began = play, call_id, began
        self.answers = []

    def slot_granted(self):
        self.play.start(self)

    def slot_refused(self, reason):
        self.answers.append(reason.value)

    def slot_expired(self):
        self.answers.append("expired")


class Play:
    """Calls at a rate, on an upstream whose speed the test sets."""

    def __init__(self, seed=1):
        self.random = Random(seed)
        self.clock = ManualClock()
        self.upstream = LocalUpstream(
            "n/u", "s", "127.0.0.1", 1, SLOTS, 110, 1000
        )
        self.port = LocalPort(
            self.upstream, CallSettings(), self.clock, None, print
        )
        self.slowness = 1.0
        self.ends = []
        self.callers = []

    def start(self, caller):
        seconds = WORK * self.slowness * self.random.uniform(0.7, 1.3)
        now = self.clock.monotonic()
        end = min(now + seconds, caller.began + TIMEOUT)
        heapq.heappush(self.ends, (end, caller.call_id, now, now + seconds))

    def run_until(self, moment):
        while self.ends and self.ends[0][0] <= moment:
            end, call_id, granted, due = heapq.heappop(self.ends)
            self.clock.advance(max(0.0, end - self.clock.monotonic()))
            caller = self.callers[call_id]
            times = self.port.service_times
            if due <= end:
                times.record(b"r", end - granted, end)
                is_late = end - caller.began > OBJECTIVE
                caller.answers.append("late" if is_late else "on time")
            else:
                times.record_cut(b"r", end - granted, end)
                caller.answers.append("cut")
            self.port.release_slot()
        self.clock.advance(max(0.0, moment - self.clock.monotonic()))

    def offer(self, rate, seconds):
        """Return the answers of the calls that begin from now on."""
        first = len(self.callers)
        last = self.clock.monotonic() + seconds
        while (now := self.clock.monotonic()) < last:
            self.run_until(now + self.random.expovariate(rate))
            now = self.clock.monotonic()
            caller = Caller(self, len(self.callers), now)
            self.callers.append(caller)
            ticket = Ticket(
                CallPriority.INTERACTIVE,
                now + TIMEOUT,
                caller.call_id,
                rank=1,
                objective_ms=round(OBJECTIVE * 1000),
                start_by=now + OBJECTIVE,
            )
            self.port.request_slot(caller, self.port.estimate(ticket, b"r"))
        return self.callers[first:]

    def finish(self):
        self.run_until(self.clock.monotonic() + 10)
        assert self.port.gate.is_idle
        # Each call is answered exactly once.
        assert {len(caller.answers) for caller in self.callers} == {1}


def share(callers, *answers):
    hits = sum(caller.answers[0] in answers for caller in callers)
    return hits / len(callers)


@pytest.mark.parametrize("seed", range(3))
def test_a_gate_that_was_just_restarted_serves_a_surge(seed):
    """Guard against rejecting all while no time is known."""
    play = Play(seed)
    callers = play.offer(1.6 * SLOTS / WORK, 3)
    play.finish()
    assert share(callers, "on time") > 0.5
    assert share(callers, "cut") == 0


@pytest.mark.parametrize("seed", range(3))
def test_an_upstream_that_becomes_five_times_as_slow(seed):
    """Guard against slots that are wasted on calls that are cut.

    The slowed calls take 1.0 s of the 1.5 s that they have, so one that
    waits for 0.6 s is cut. The gate learns that, and learns again when
    the upstream has recovered.
    """
    play = Play(seed)
    play.offer(0.5 * SLOTS / WORK, 4)
    play.slowness = 5.0
    learning = play.offer(0.5 * SLOTS / WORK, 3)
    slow = play.offer(0.5 * SLOTS / WORK, 6)
    play.slowness = 1.0
    play.offer(0.5 * SLOTS / WORK, 3)
    after = play.offer(0.5 * SLOTS / WORK, 4)
    play.finish()
    # The slowdown is learned from nine calls (MAX_STEP_FACTOR), while
    # as many as there are slots run.
    assert share(learning, "cut") * len(learning) <= 9 + SLOTS
    assert share(slow, "cut") < 0.05
    # A fifth of the speed serves 0.4 of this load.
    assert share(slow, "late", "on time") > 0.25
    assert share(after, "on time") > 0.95


def test_an_upstream_that_is_too_slow_for_all_calls_is_tried_again():
    """Guard against a gate that rejects all and never learns again."""
    play = Play()
    play.offer(0.5 * SLOTS / WORK, 4)
    play.slowness = 20.0
    play.offer(0.5 * SLOTS / WORK, 5)
    slow = play.offer(0.5 * SLOTS / WORK, 5)
    play.slowness = 1.0
    play.offer(0.5 * SLOTS / WORK, 5)
    after = play.offer(0.5 * SLOTS / WORK, 4)
    play.finish()
    # Nothing can be served; most calls are told at once.
    assert share(slow, "cannot_end", "too_late") > 0.5
    assert share(after, "on time") > 0.95


def test_a_resize_loses_no_call():
    play = Play()
    for slots in (1, 9, 0, 5):
        play.offer(1.5 * SLOTS / WORK, 0.7)
        play.port.resize(
            LocalUpstream("n/u", "s", "127.0.0.1", 1, slots, 110, 1000)
        )
    play.finish()


def test_a_drain_refuses_what_waits_and_serves_what_runs():
    play = Play()
    play.offer(2 * SLOTS / WORK, 1)
    waiting = play.port.gate.waiting
    assert waiting
    play.port.drain_and_refuse_queued()
    refused = play.offer(SLOTS / WORK, 0.5)
    play.finish()
    assert share(refused, "draining") == 1
    answers = [caller.answers[0] for caller in play.callers]
    assert answers.count("draining") == waiting + len(refused)

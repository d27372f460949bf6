"""The order of the steps of a graceful shutdown and their bounds."""

from datetime import timedelta
from types import SimpleNamespace

import anyio
import anyio.lowlevel
import pytest
from structlog.testing import capture_logs

from rhubarbhollow_daemon.graceful_shutdown import (
    LAST_ANSWER_SECONDS,
    POLL_SECONDS,
    leave_mesh,
)
from rhubarbhollow_daemon.process import _Process
from rhubarbhollow_daemon.settings_drain import DrainSettings


class Node:
    """A fake node and upstream; each poll ends process call.

    Each wait ends ``late`` seconds after its time.
    """

    def __init__(self, in_flight, polls_until_idle=0, late=0.0):
        self.steps = []
        self.clock = self
        self.now = 0.0
        self._late = late
        self.call_node = self.upstreams = self
        self.local_port = SimpleNamespace(gate=self)
        self._polls_until_idle = polls_until_idle
        self._in_flight = in_flight
        self._is_draining = False

    def monotonic(self):
        return self.now

    @property
    def in_flight(self):
        if self._is_draining and self._in_flight > 0:
            self._in_flight -= 1
        return self._in_flight

    @property
    def has_unfinished_work(self):
        return bool(self.in_flight)

    @property
    def is_idle(self):
        self._polls_until_idle -= 1
        return self._polls_until_idle < 0

    def leave_all(self):
        self.steps.append("withdraw")

    def begin_leaving(self, stops_at):
        self.steps.append("leave")

    def end_calls(self):
        self.ended_at = self.now

    def begin_drain(self):
        self.steps.append("drain")
        self._is_draining = True

    async def sleep(self, seconds):
        if self.steps[-1] != "drain":
            self.steps.append(seconds)
        # Rounded, so that equal waits add up without an error.
        self.now = round(self.now + seconds + self._late, 6)
        await anyio.lowlevel.checkpoint()


def run_leave_mesh(node, drain):
    with capture_logs() as events:
        anyio.run(leave_mesh, node, node, drain, node.sleep)
    return events


@pytest.mark.parametrize(
    ("in_flight", "budget_seconds", "left"),
    [(0, 30, 0), (5, 30, 0), (-1, 0, -1)],
)
def test_a_drain_withdraws_and_waits_for_calls(
    in_flight, budget_seconds, left
):
    """Guard against a drain out of order or beyond its budget."""
    node = Node(in_flight)
    drain = DrainSettings(budget=timedelta(seconds=budget_seconds))
    events = run_leave_mesh(node, drain)
    assert node.steps == ["leave", 0.0, "withdraw", 2.0, "drain"]
    assert events[-1]["event"] == "drain_finished"
    assert events[-1]["is_complete"] is (left == 0)
    assert events[-1]["in_flight"] == left


def test_the_upstream_serves_until_callers_have_left():
    """Guard against a withdrawal before the hold time has passed."""
    node = Node(0)
    drain = DrainSettings(hold=timedelta(seconds=2.1))
    run_leave_mesh(node, drain)
    assert node.steps == ["leave", 2.1, "withdraw", 2.0, "drain"]


@pytest.mark.parametrize(
    ("polls_until_idle", "polls"), [(0, 0), (7, 7), (10_000, 50)]
)
def test_a_shortened_spread_ends_when_no_call_runs(polls_until_idle, polls):
    """Guard against waiting the whole spread with nothing to run."""
    node = Node(0, polls_until_idle)
    drain = DrainSettings(
        spread=timedelta(seconds=1), is_spread_cut_short=True
    )
    run_leave_mesh(node, drain)
    waits = [POLL_SECONDS] * polls
    assert node.steps == ["leave", 0.0, "withdraw", *waits, "drain"]


@pytest.mark.parametrize("polls_until_idle", [0, 10, 10_000])
@pytest.mark.parametrize("late", [0.0, 0.01])
def test_a_drain_takes_all_of_its_time_and_no_more(polls_until_idle, late):
    """Guard against calls cut early, or by the kill after the grace."""
    node = Node(10_000, polls_until_idle, late)
    drain = DrainSettings(
        hold=timedelta(seconds=2),
        spread=timedelta(seconds=1),
        budget=timedelta(seconds=2),
        is_spread_cut_short=True,
    )
    run_leave_mesh(node, drain)
    assert 5 <= node.ended_at <= 5 + late
    assert node.now <= node.ended_at + LAST_ANSWER_SECONDS + late


def test_the_extension_is_notified_before_the_node_leaves():
    """Guard against leaving while the platform still sees it ready."""
    node = Node(0)
    extension = SimpleNamespace(
        begin_leaving=lambda: node.steps.append("not ready")
    )
    drain = DrainSettings(spread=timedelta())
    settings = SimpleNamespace(
        drain=drain, instance=SimpleNamespace(data_centre="ilala")
    )
    process = _Process(settings, node, None, None, None, extension)
    anyio.run(process._drain)
    assert node.steps == ["not ready", "leave", "withdraw", "drain"]

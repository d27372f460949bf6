from datetime import timedelta
from types import SimpleNamespace

import anyio
import anyio.lowlevel
import pytest
from structlog.testing import capture_logs

from rhubarbhollow_daemon import process
from rhubarbhollow_daemon.process import _Process
from rhubarbhollow_daemon.settings_drain import DrainSettings


class Node:
    """Stand in for the node; calls end one a poll."""

    def __init__(self, in_flight):
        self.steps = []
        self.call_node = self.upstreams = self
        self._in_flight = in_flight
        self._is_draining = False

    @property
    def in_flight(self):
        if self._is_draining and self._in_flight > 0:
            self._in_flight -= 1
        return self._in_flight

    def leave_all(self):
        self.steps.append("withdraw")

    def begin_leaving(self):
        self.steps.append("leave")

    def begin_drain(self):
        self.steps.append("drain")
        self._is_draining = True


@pytest.mark.parametrize(
    ("in_flight", "budget_seconds", "left"),
    [(0, 30, 0), (5, 30, 0), (-1, 0, -1)],
)
def test_a_drain_withdraws_first_and_waits_for_calls(
    monkeypatch, in_flight, budget_seconds, left
):
    node = Node(in_flight)

    async def sleep(seconds):
        if node.steps[-1] != "drain":
            node.steps.append(f"spread {seconds}")
        await anyio.lowlevel.checkpoint()

    drain = DrainSettings(
        timedelta(seconds=2), timedelta(seconds=budget_seconds)
    )
    monkeypatch.setattr(process.anyio, "sleep", sleep)
    settings = SimpleNamespace(drain=drain)
    one = _Process(settings, node, None, None, None)
    with capture_logs() as events:
        anyio.run(one._drain)
    assert node.steps == ["withdraw", "leave", "spread 2.0", "drain"]
    assert events[-1]["event"] == "drain_finished"
    assert events[-1]["is_complete"] is (left == 0)
    assert events[-1]["in_flight"] == left

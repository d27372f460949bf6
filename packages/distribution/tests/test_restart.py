"""Restarts without memory, failure by failure.

Every history begins with a node that applied release 2, and ends with
a new process of it that looks for a place to start.
"""

from __future__ import annotations

import pytest
from small_mesh import Mesh

CONTROLS = (("i1", "ilala"), ("i2", "ilala"), ("t1", "temeke"))
NODES = (("a", "ilala"), ("b", "ilala"), ("c", "temeke"))


class History:
    """Steps named after what an operator would see."""

    def __init__(self):
        self.mesh = Mesh(CONTROLS, NODES)
        self.controls = {each.name: each for each in self.mesh.controls}
        self.nodes = {each.name: each for each in self.mesh.nodes}
        for node, control in (("a", "i1"), ("b", "i1"), ("c", "t1")):
            self.connect(node, control)
        self.release("i1", "i2", "t1")
        assert self.position("a") == 1

    def connect(self, node, control):
        self.mesh.connect(self.nodes[node], self.controls[control])
        self.mesh.pump_all()

    def sync(self, *controls):
        self.mesh.pass_time(0.01)
        for name in controls:
            self.mesh.sync(self.controls[name])
        self.mesh.pump_all()

    def accept(self, *controls):
        """Accept a release, which is staged from these instances."""
        self.mesh.accept_release()
        self.sync(*controls)

    def release(self, *controls):
        self.accept(*controls)
        self.activate(*controls)

    def activate(self, *controls):
        self.mesh.active = self.mesh.latest
        self.mesh.planner.note_activated(self.mesh.active)
        self.sync(*controls)

    def cut(self, *data_centres):
        self.mesh.set_cut(data_centres)

    def wait(self, seconds=6.0):
        for _ in range(int(seconds * 2)):
            self.mesh.pass_time(0.5)
            self.mesh.pump_all()

    def restart(self, node, control):
        self.mesh.restart_node(self.nodes[node])
        self.connect(node, control)

    def position(self, node):
        return self.nodes[node].holder.active_position


def test_fresh_instance_starts_the_node_at_once():
    history = History()
    history.release("i1", "i2", "t1")
    history.restart("a", "i2")
    assert history.position("a") == 0
    history.sync("i2")
    assert history.position("a") == 2


def test_instance_that_lags_does_not_start_the_node_below():
    """The instance is within its lease, but was confirmed too early."""
    history = History()
    history.release("i1", "t1")
    history.restart("a", "i2")
    assert history.controls["i2"].view().is_fresh
    assert history.position("a") == 0
    history.sync("i2")
    assert history.position("a") == 2


def test_cut_data_centre_starts_the_node_at_its_floor():
    history = History()
    history.release("i1", "i2", "t1")
    history.cut("ilala")
    history.wait()
    history.restart("a", "i1")
    assert history.position("a") == 0
    history.wait()
    assert history.position("a") == 2


@pytest.mark.parametrize("is_seen_on_a_call", [True, False])
def test_release_activated_on_sight_survives_the_restart(is_seen_on_a_call):
    """The cut comes between staging and the instance's activation."""
    history = History()
    history.accept("i1", "i2", "t1")
    history.activate("t1")
    if is_seen_on_a_call:
        history.mesh.call(history.nodes["c"], history.nodes["a"])
        assert history.position("a") == 2
    history.cut("ilala")
    history.wait()
    # The process ends before it could report anything.
    history.restart("a", "i1")
    history.wait()
    assert history.position("a") == 2


def test_control_instance_that_restarted_while_cut_off_remembers():
    history = History()
    history.accept("i1", "i2", "t1")
    history.activate("t1")
    history.mesh.call(history.nodes["c"], history.nodes["a"])
    history.cut("ilala")
    history.mesh.restart_control(history.controls["i1"])
    history.restart("a", "i1")
    history.wait()
    assert history.position("a") == 2


def test_node_that_started_ahead_does_not_go_back_after_the_cut():
    """Started at 2 while cut off, before 2 was activated anywhere."""
    history = History()
    history.accept("i1")
    history.cut("ilala")
    history.wait()
    history.restart("a", "i1")
    history.wait()
    assert history.position("a") == 2
    history.cut()
    history.restart("a", "t1")
    history.sync("t1")
    assert (history.position("a"), history.mesh.active) == (0, 1)
    history.activate("t1")
    assert history.position("a") == 2


def test_instance_of_another_data_centre_must_be_fresh():
    history = History()
    history.release("i1", "i2", "t1")
    history.wait()
    history.restart("a", "t1")
    history.wait()
    assert history.position("a") == 0


def test_survivor_keeps_a_lagging_instance_from_starting_others():
    """Another node of the data centre has seen more and reports it."""
    history = History()
    for node in ("a", "b"):
        history.connect(node, "t1")
    history.release("t1")
    assert history.position("b") == 2
    history.cut("ilala")
    history.connect("b", "i1")
    history.restart("a", "i1")
    history.wait()
    assert history.position("a") == 0
    assert history.controls["i1"].recorded == 2


def test_written_exception_no_survivor_and_fed_from_elsewhere():
    """Nobody in the data centre remembers: the node starts below."""
    history = History()
    for node in ("a", "b"):
        history.connect(node, "t1")
    history.release("t1")
    history.cut("ilala")
    history.restart("a", "i1")
    history.wait()
    assert history.position("a") == 1
    assert history.mesh.excused == 1


def test_sole_instance_lost_with_its_disk_does_not_start_anything():
    history = History()
    history.release("i1", "i2", "t1")
    history.cut("ilala")
    lost = history.controls["i1"]
    lost.recorded = lost.releases.latest = lost.active = 0
    history.mesh.restart_control(lost)
    history.restart("a", "i1")
    history.wait()
    assert history.position("a") == 0

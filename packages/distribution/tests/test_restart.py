"""Restarts of nodes that keep no release, with one failure per case.

A node must not start below a position that it applied before.
"""

from __future__ import annotations

import pytest
from script_cases import cases, play
from small_mesh import Mesh


class History:
    """The steps and observations of the restart scripts."""

    def __init__(self):
        controls = (("i1", "ilala"), ("i2", "ilala"), ("t1", "temeke"))
        nodes = (("a", "ilala"), ("b", "ilala"), ("c", "temeke"))
        self.mesh = Mesh(controls, nodes)
        self.named = {
            each.name: each for each in self.mesh.controls + self.mesh.nodes
        }
        play(self, "connect a i1; connect b i1; connect c t1")
        play(self, "release i1 i2 t1; at a = 1")

    def connect(self, node, control):
        self.mesh.connect(self.named[node], self.named[control])
        self.mesh.pump_all()

    def sync(self, *controls):
        self.mesh.pass_time(0.01)
        for name in controls:
            self.mesh.sync(self.named[name])
        self.mesh.pump_all()

    def accept(self, *controls):
        self.mesh.accept_release()
        self.sync(*controls)

    def activate(self, *controls):
        self.mesh.active = self.mesh.latest
        self.mesh.planner.record_activated(self.mesh.active)
        self.sync(*controls)

    def release(self, *controls):
        self.accept(*controls)
        self.activate(*controls)

    def restart(self, node, control):
        self.mesh.restart_node(self.named[node])
        self.connect(node, control)

    def reboot(self, control):
        self.mesh.restart_control(self.named[control])

    def lose_disk(self, control):
        lost = self.named[control]
        lost.recorded = lost.releases.latest = lost.active = 0
        self.reboot(control)

    def wait(self):
        for _ in range(12):
            self.mesh.pass_time(0.5)
            self.mesh.pump_all()

    def cut(self, *data_centres):
        self.mesh.set_cut(data_centres)

    def call(self, caller, callee):
        self.mesh.call(self.named[caller], self.named[callee])

    def at(self, node):
        return self.named[node].holder.active_position

    def floor(self, control):
        return self.named[control].recorded

    def fresh(self, control):
        return self.named[control].view().is_fresh

    def in_force(self):
        return self.mesh.active

    def excused(self):
        return self.mesh.excused


@pytest.mark.parametrize("script", cases("restart"))
def test_history(script):
    play(History(), script)

"""Comparison of differences with full pushes of the same changes."""

from __future__ import annotations

import logging
import random
from dataclasses import replace

import pytest
from endpoint_fakes import ANNOUNCEMENT
from naive_distribution import NaiveSource, bytes_of
from small_mesh import Mesh
from small_releases import hello_of, resources_at, stage_at

from rhubarbhollow_distribution.feed_settings import FeedSettings
from rhubarbhollow_distribution.welcome import Welcome

QUICK = FeedSettings(0.005, 1.0, load_seconds=0.5)
SLOW = FeedSettings(1.0, 3.0, load_seconds=5.0)
CONTROLS = (("i1", "ilala"),)
NODES = tuple((f"node-{number}", "ilala") for number in range(12))
STEPS = 600

_log = logging.getLogger(__name__)


class Comparison:
    """Apply the same changes to a mesh and to the naive source."""

    def __init__(self, settings, seed):
        self.rng = random.Random(seed)
        self.mesh = Mesh(CONTROLS, NODES, settings)
        self.naive = NaiveSource(len(NODES))
        self.sent_bytes = 0
        self._count_sent()
        self.control = self.mesh.controls[0]
        for node in self.mesh.nodes:
            self.mesh.connect(node, self.control)

    def _count_sent(self):
        send = self.mesh.send

        def counting_send(link):
            before = len(link.to_node)
            send(link)
            sent = list(link.to_node)[before:]
            self.sent_bytes += sum(map(bytes_of, sent))

        self.mesh.send = counting_send

    def change(self):
        """Make one random change to the releases or the endpoints."""
        node = self.rng.choice(self.mesh.nodes)
        kind = self.rng.random()
        if kind < 0.1:
            self.mesh.accept_release()
            self.naive.accept()
        elif kind < 0.3:
            node.registry.withdraw("desk")
        elif kind < 0.4:
            self.mesh.restart_node(node)
        else:
            slots = self.rng.randint(8, 9)
            load = self.rng.random()
            announcement = replace(
                ANNOUNCEMENT, name="desk", slots=slots, load=load
            )
            node.registry.announce(announcement)
        changed = tuple(node.registry._changed.values())
        if changed:
            self.naive.merge(changed)

    def run_step(self):
        if self.rng.random() < 0.5:
            self.change()
        for node in self.mesh.nodes:
            if node.name not in self.mesh.links:
                # The naive source must also process the restart.
                self.mesh.connect(node, self.control)
                records = self.control.store.own_records()
                self.naive.merge(
                    replace(each, sequence=each.sequence + 1000)
                    for each in records
                    if each.is_gone and each.node == node.name
                )
        self.mesh.plan()
        self.mesh.sync(self.control)
        self.mesh.pump_all()
        self.mesh.pass_time(self.rng.choice((0.01, 0.2)))

    def check_settled(self):
        for _ in range(40):
            self.mesh.plan()
            self.mesh.sync(self.control)
            self.mesh.pump_all()
            self.mesh.pass_time(0.3)
        position = self.naive.position
        expected = resources_at(position).canonical() if position else None
        orders = {each.key: each.order for each in self.naive.live()}
        for node in self.mesh.nodes:
            active = node.holder.active
            held = active.resources.canonical() if active else None
            assert held == expected
            records = node.table.records
            assert {each.key: each.order for each in records} == orders


@pytest.mark.parametrize("settings", [QUICK, SLOW])
@pytest.mark.parametrize("seed", range(3))
def test_same_result_as_full_pushes_for_fewer_bytes(settings, seed):
    comparison = Comparison(settings, seed)
    for step in range(STEPS):
        comparison.run_step()
        if step % 150 == 149:
            comparison.check_settled()
    ratio = comparison.sent_bytes / comparison.naive.sent_bytes
    _log.info("control bytes: %.3f of the full pushes", ratio)
    assert ratio < (0.30 if settings is QUICK else 0.20)


def test_size_of_a_difference_depends_on_the_net_change():
    whole = bytes_of(stage_at(2))
    change = bytes_of(stage_at(2, 1))
    net = bytes_of(stage_at(400, 1))
    _log.info("release %d, difference %d, net %d", whole, change, net)
    assert change < whole
    assert net - change < 10


def test_reconnect_without_changes_costs_under_200_bytes():
    comparison = Comparison(QUICK, 1)
    comparison.mesh.accept_release()
    comparison.naive.accept()
    comparison.check_settled()
    node = comparison.mesh.nodes[0]
    before = comparison.sent_bytes
    comparison.mesh.connect(node, comparison.control)
    link = comparison.mesh.links[node.name]
    comparison.mesh.send(link)
    assert comparison.sent_bytes == before
    hello = hello_of(node.holder, table=node.table, node=node.name)
    size = bytes_of(hello) + bytes_of(Welcome("ilala-control-1", "ilala", 1))
    _log.info("hello and welcome: %d bytes", size)
    assert size < 200

from dataclasses import replace
from random import Random

import pytest

from rhubarbhollow_daemon.endpoint_exchange import (
    HEARTBEAT_SECONDS,
    EndpointExchange,
)
from rhubarbhollow_daemon.node_messages import EndpointsRequest
from rhubarbhollow_distribution.endpoint_change import EndpointChange
from rhubarbhollow_distribution.endpoint_pacer import EndpointPacer
from rhubarbhollow_distribution.endpoint_record import EndpointRecord
from rhubarbhollow_distribution.endpoint_store import EndpointStore
from rhubarbhollow_wire.clock import ManualClock

NAMES = ("c1", "c2", "c3")
NODES = ("n1", "n2", "n3", "n4")
STEPS = 300
# One heartbeat reveals a missed change, the next round delivers it.
LOSSLESS_STEPS = 40


class Link:
    """Carry messages one way, over connections that fail and return."""

    def __init__(self):
        self.is_up = False
        self.generation = 0
        self.queue = []

    def send(self, message):
        if self.is_up:
            self.queue.append(message)

    def toggle(self):
        self.is_up = not self.is_up
        self.generation += self.is_up
        self.queue.clear()


class Instance:
    def __init__(self, name, clock):
        self.name = name
        self.by_name = {other: Link() for other in NAMES if other != name}
        self.store = EndpointStore(name, 1, clock)
        pacer = EndpointPacer(clock, 0.02, 0.5)
        self.exchange = EndpointExchange(name, self.store, self, clock, pacer)

    def send(self, name, message):
        self.by_name[name].send(message)


class Mesh:
    def __init__(self, seed):
        self.random = Random(seed)
        self.clock = ManualClock()
        self.instances = {name: Instance(name, self.clock) for name in NAMES}
        # The latest record of every node.
        self.latest = {}
        self.sequence = 0

    def report(self):
        """Change a random node's record at a random instance."""
        node = self.random.choice(NODES)
        instance = self.instances[self.random.choice(NAMES)]
        self.sequence += 1
        record = EndpointRecord(
            name="bench",
            service="test-bench",
            node=node,
            data_centre="ilala",
            peer_host="127.0.0.1",
            peer_port=1,
            slots=self.random.randint(1, 9),
            state=1,
            load_percent=self.random.randint(0, 100),
            incarnation=1,
            sequence=self.sequence,
        )
        if self.random.random() < 0.2:
            record = replace(record, state=record.to_tombstone().state)
        self.latest[node] = record
        changed = instance.store.merge((record,), instance.name)
        instance.exchange.publish(changed)

    def deliver(self, loss):
        for instance in self.instances.values():
            for name, link in instance.by_name.items():
                messages, link.queue = link.queue, []
                for message in messages:
                    if self.random.random() >= loss:
                        self._deliver_message(instance.name, name, message)

    def _deliver_message(self, sender, name, message):
        exchange = self.instances[name].exchange
        if isinstance(message, EndpointsRequest):
            exchange.answer(sender)
        else:
            exchange.receive(sender, message)

    def step(self, loss):
        self.clock.advance(HEARTBEAT_SECONDS / 8)
        for instance in self.instances.values():
            instance.exchange.tick()
            instance.exchange.flush()
        self.deliver(loss)

    def compute_expected(self):
        """Return the result of full lists over lossless links."""
        return {
            record for record in self.latest.values() if not record.is_gone
        }


@pytest.mark.parametrize("seed", range(20))
def test_instances_converge_after_message_loss(seed):
    """Messages are lost and links reset while records change.

    Once links are reliable, every instance must hold what an exchange
    of full lists would have given it.
    """
    mesh = Mesh(seed)
    links = [
        link
        for instance in mesh.instances.values()
        for link in instance.by_name.values()
    ]
    for _ in range(STEPS):
        if mesh.random.random() < 0.3:
            mesh.report()
        if mesh.random.random() < 0.1:
            mesh.random.choice(links).toggle()
        mesh.step(loss=0.2)
    for link in links:
        if not link.is_up:
            link.toggle()
    for _ in range(LOSSLESS_STEPS):
        mesh.step(loss=0.0)
    expected = mesh.compute_expected()
    for instance in mesh.instances.values():
        assert set(instance.store.records) == expected


def test_idle_link_does_not_repeat_records():
    """Heartbeats after the full list must carry no records."""
    mesh = Mesh(1)
    link = mesh.instances["c1"].by_name["c2"]
    link.toggle()
    mesh.report()
    for _ in range(8):
        mesh.step(loss=0.0)
    mesh.instances["c1"].exchange.tick()
    assert all(not message.records for message in link.queue)


def test_an_odd_record_of_a_peer_leaves_the_others_in_use():
    """One odd record must cost neither the others nor the full list."""
    mesh = Mesh(1)
    receiver = mesh.instances["c1"]
    receiver.by_name["c2"].toggle()
    good = EndpointRecord("u", "desk", "n1", "", "::1", 1, 9, 1, -1, 1, 1)
    odd = replace(good, name="v", peer_port=1 << 30)
    changes = [
        EndpointChange("c2/1", 0, 1, (odd, good), is_full=True),
        EndpointChange("c2/1", 1, 2, (odd,), is_full=False),
        EndpointChange(
            "c2/1", 2, 3, (odd, replace(good, sequence=2)), is_full=False
        ),
    ]
    for change in changes:
        receiver.exchange.receive("c2", change)
    assert receiver.store.records == (replace(good, sequence=2),)
    assert not receiver.by_name["c2"].queue

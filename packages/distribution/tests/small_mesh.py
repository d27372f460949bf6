"""An in-process mesh of a few nodes and control instances.

Nodes and instances are connected by queues.  The replicated log is not
simulated: ``Mesh`` holds the committed positions, and a control
instance that is not isolated reads them.
"""

from __future__ import annotations

from collections import deque

from result import Err
from small_releases import (
    MESH,
    QUICK,
    TRUSTED,
    Releases,
    hello_of,
    resources_at,
)

from rhubarbhollow_distribution.activate import Activate
from rhubarbhollow_distribution.activation import ActivationPlanner
from rhubarbhollow_distribution.active_report import ActiveReport
from rhubarbhollow_distribution.endpoint_change import EndpointChange
from rhubarbhollow_distribution.endpoint_report import EndpointReport
from rhubarbhollow_distribution.endpoint_store import EndpointStore
from rhubarbhollow_distribution.endpoint_table import EndpointTable
from rhubarbhollow_distribution.feed import NodeFeed
from rhubarbhollow_distribution.holder import ReleaseHolder
from rhubarbhollow_distribution.ledger_view import LedgerView
from rhubarbhollow_distribution.node_heartbeat import NodeHeartbeat
from rhubarbhollow_distribution.node_register import NodeRegister
from rhubarbhollow_distribution.position_check import PositionCheck
from rhubarbhollow_distribution.stage import Stage
from rhubarbhollow_distribution.stage_fault import NeedsDifference
from rhubarbhollow_distribution.stage_request import StageRequest
from rhubarbhollow_distribution.start_floor import StartFloor
from rhubarbhollow_distribution.upstream_registry import UpstreamRegistry
from rhubarbhollow_wire.clock import ManualClock

FRESH_SECONDS, LEASE_SECONDS, DEADLINE_SECONDS = 1.0, 4.0, 2.0


class Link:
    """An ordered connection; closing it loses messages in flight."""

    def __init__(self, node, control, feed):
        self.node, self.control, self.feed = node, control, feed
        self.to_node, self.to_control = deque(), deque()


class Control:
    def __init__(self, name, data_centre, mesh):
        self.name, self.data_centre, self.mesh = name, data_centre, mesh
        self.releases = Releases()
        self.active = self.recorded = self.incarnation = 0
        self.restart()

    def restart(self):
        """Restart with only the log and the recorded floor kept."""
        self.incarnation += 1
        self.confirmed_at = None
        self.floor = StartFloor(self.recorded)
        clock, name = self.mesh.clock, self.name
        self.register = NodeRegister(
            name, self.data_centre, clock, LEASE_SECONDS
        )
        self.store = EndpointStore(name, self.incarnation, clock)

    def view(self):
        latest = self.releases.latest
        self.floor.require(max(latest, self.register.floor))
        if self.floor.pending is not None:
            self.recorded = self.floor.pending
            self.floor.confirm(self.recorded)
        at, now = self.confirmed_at, self.mesh.clock.monotonic()
        is_fresh = at is not None and now < at + FRESH_SECONDS
        return LedgerView(latest, self.active, is_fresh, at, self.recorded)


class Node:
    def __init__(self, name, data_centre, mesh):
        self.name, self.data_centre, self.mesh = name, data_centre, mesh
        # Kept across restarts by the test only, not by the node.
        self.incarnation = self.applied = 0
        self.offered_by = {}
        self.restart()

    def restart(self):
        self.incarnation += 1
        clock = self.mesh.clock
        self.holder = ReleaseHolder(MESH, TRUSTED, clock)
        self.table = EndpointTable(clock)
        self.registry = UpstreamRegistry(
            node=self.name,
            data_centre=self.data_centre,
            peer_host="127.0.0.1",
            peer_port=7101,
            incarnation=self.incarnation,
            clock=clock,
        )
        self.promised, self.received = set(), []

    def handle(self, message, control):
        """Process a message; return the replies."""
        self.received.append(message)
        match message:
            case Stage():
                return self._stage(message, control)
            case Activate(position=position, digest=digest):
                return self._activate(position, digest, control)
            case EndpointChange():
                self.table.apply(message)
        return []

    def _stage(self, message, control):
        outcome = self.holder.stage(message)
        if isinstance(outcome, Err):
            fault = outcome.err_value
            if isinstance(fault, NeedsDifference):
                return [StageRequest(fault.held_position, fault.held_digest)]
            return []
        self.promised.add(message.position)
        highest = max(message.position, self.offered_by.get(control.name, 0))
        self.offered_by[control.name] = highest
        return [outcome.ok_value]

    def _activate(self, position, digest, control):
        had_no_release = self.holder.active is None
        if isinstance(self.holder.activate(position, digest), Err):
            holder = self.holder
            return [StageRequest(holder.staged_position, holder.held_digest)]
        self.check(control if had_no_release else None)
        return [ActiveReport(self.holder.active_position)]

    def check(self, started_by=None):
        """Assert the invariants that hold after every change."""
        position = self.holder.active_position
        if position == 0:
            return
        if position < self.applied:
            is_excused = started_by and self._is_excused(started_by)
            assert is_excused, "the active position of the node decreased"
        self.applied = position
        assert position <= self.mesh.latest
        assert self.holder.active.digest == resources_at(position).digest
        kept = set(self.holder.staged_positions)
        assert all(p <= position or p in kept for p in self.promised)

    def _is_excused(self, control):
        """Return whether the start rule's documented exception applies.

        It applies if the instance is in the node's data centre and
        isolated, and another instance has offered the node a position
        above the floor that this instance recorded.
        """
        self.mesh.excused += 1
        offers = {**self.offered_by, control.name: 0}
        return (
            control.data_centre == self.data_centre
            and not control.view().is_fresh
            and max(offers.values()) > control.recorded
        )


class Mesh:
    def __init__(self, controls, nodes, settings=QUICK):
        self.clock = ManualClock()
        self.settings = settings
        self.latest = self.active = self.excused = 0
        self.cut, self.links = set(), {}
        self.controls = [Control(*each, self) for each in controls]
        self.nodes = [Node(*each, self) for each in nodes]
        self.planner = ActivationPlanner(
            (name for name, _ in controls), self.clock, DEADLINE_SECONDS
        )

    def reaches(self, one, other):
        data_centres = {one.data_centre, other.data_centre}
        return len(data_centres) == 1 or not data_centres & self.cut

    def accept_release(self):
        self.latest += 1
        self.planner.record_accepted(self.latest)

    def sync(self, control):
        if control.data_centre not in self.cut:
            control.releases.latest = self.latest
            control.active = self.active
            control.confirmed_at = self.clock.monotonic()

    def plan(self):
        """Run the planner on the summaries of reachable instances."""
        for control in self.controls:
            if control.data_centre not in self.cut:
                self.planner.record_summary(control.register.summary())
        chosen = self.planner.maybe_propose()
        if chosen is not None:
            self.active = chosen
            self.planner.record_activated(chosen)

    def set_cut(self, data_centres):
        self.cut = set(data_centres)
        for link in list(self.links.values()):
            if not self.reaches(link.node, link.control):
                self.disconnect(link.node)

    def connect(self, node, control):
        hello = hello_of(
            node.holder,
            table=node.table,
            node=node.name,
            data_centre=node.data_centre,
            incarnation=node.incarnation,
        )
        if not self.reaches(node, control):
            return
        self.disconnect(node)
        if not control.register.admit(hello):
            return
        tombstones = control.store.admit_node(node.name, node.incarnation)
        self.publish(control, tombstones)
        feed = NodeFeed(
            hello,
            data_centre=control.data_centre,
            settings=self.settings,
            releases=control.releases,
            endpoints=control.store,
            clock=self.clock,
        )
        link = self.links[node.name] = Link(node, control, feed)
        node.table.expect(control.store.source)
        link.to_control.append(EndpointReport(node.registry.records))
        node.registry.take_changes()

    def disconnect(self, node):
        self.links.pop(node.name, None)

    def restart_node(self, node):
        self.disconnect(node)
        node.restart()

    def restart_control(self, control):
        for link in list(self.links.values()):
            if link.control is control:
                self.disconnect(link.node)
        control.restart()

    def send(self, link):
        """Send all messages of the control instance that are due."""
        view = link.control.view()
        while (message := link.feed.next_message(view)) is not None:
            link.to_node.append(message)

    def deliver_to_node(self, link):
        if link.to_node:
            message = link.to_node.popleft()
            if isinstance(message, Stage | Activate):
                assert message.position <= link.control.recorded
            link.to_control.extend(link.node.handle(message, link.control))

    def deliver_to_control(self, link):
        control, node = link.control, link.node
        if changed := node.registry.take_changes():
            link.to_control.append(EndpointReport(changed))
        if not link.to_control:
            return
        message = link.to_control.popleft()
        control.register.accept(node.name, message)
        link.feed.accept(message)
        if isinstance(message, EndpointReport):
            changed = control.store.merge(message.records, control.name)
            self.publish(control, changed)

    def publish(self, control, records):
        for peer in self.controls:
            if peer is not control and self.reaches(peer, control):
                peer.store.merge(records, control.name)

    def exchange_all(self):
        """Exchange full record lists between connected instances."""
        for control in self.controls:
            for peer in self.controls:
                if peer is control:
                    continue
                if self.reaches(peer, control):
                    records = peer.store.own_records()
                    control.store.replace_all(records, peer.name)
                else:
                    control.store.note_lost(peer.name)

    def call(self, caller, callee):
        """Route a call at the caller's position."""
        position = caller.holder.active_position
        if not self.reaches(caller, callee):
            return
        check = callee.holder.observe_position(position)
        callee.check()
        link = self.links.get(callee.name)
        if check is PositionCheck.ACTIVATED and link:
            link.to_control.append(ActiveReport(position))

    def check(self):
        for node in self.nodes:
            node.check()

    def pass_time(self, seconds):
        self.clock.advance(seconds)
        for control in self.controls:
            for name in control.register.expired():
                entry = control.register._entries[name]
                control.register.remove(name, entry.incarnation)
                self.publish(control, control.store.end_lease(name))
                link = self.links.get(name)
                if link and link.control is control:
                    self.disconnect(link.node)
            control.store.expire()

    def settle(self, steps=60):
        """Heal all partitions and run ``steps`` rounds to converge."""
        self.set_cut(())
        local = {each.data_centre: each for each in self.controls}
        for _ in range(steps):
            for node in self.nodes:
                if node.name not in self.links:
                    self.connect(node, local[node.data_centre])
            self.plan()
            for control in self.controls:
                self.sync(control)
            self.exchange_all()
            self.pump_all()
            self.pass_time(0.1)

    def pump_all(self):
        for link in list(self.links.values()):
            self.pump(link)

    def pump(self, link):
        """Exchange messages until none is left to send."""
        holder = link.node.holder
        link.to_control.append(
            NodeHeartbeat(holder.active_position, holder.staged_position)
        )
        is_moving = True
        while is_moving:
            self.send(link)
            is_moving = bool(link.to_node or link.to_control)
            while link.to_node:
                self.deliver_to_node(link)
            while link.to_control or link.node.registry._changed:
                self.deliver_to_control(link)

"""Admission, leases and messages of the nodes of a control instance."""

from dataclasses import replace
from random import Random
from types import SimpleNamespace

import pytest

from rhubarbhollow_calls.quarantine_message import CrashReport
from rhubarbhollow_daemon.endpoint_exchange import EndpointExchange
from rhubarbhollow_daemon.messages import PeerHello
from rhubarbhollow_daemon.node_connections import NodeConnections
from rhubarbhollow_daemon.node_link import NodeLink
from rhubarbhollow_daemon.node_messages import EndpointsRequest
from rhubarbhollow_daemon.peer_links import PeerLinks
from rhubarbhollow_daemon.quarantine_relay import QuarantineRelay
from rhubarbhollow_daemon.release_machine import ReleaseMachine
from rhubarbhollow_daemon.rollout_coordinator import RolloutCoordinator
from rhubarbhollow_daemon.rollout_feed import RolloutFeed
from rhubarbhollow_distribution.admission import AdmissionQueue
from rhubarbhollow_distribution.control_directory import ControlDirectory
from rhubarbhollow_distribution.endpoint_pacer import EndpointPacer
from rhubarbhollow_distribution.endpoint_record import EndpointRecord
from rhubarbhollow_distribution.endpoint_report import EndpointReport
from rhubarbhollow_distribution.endpoint_store import EndpointStore
from rhubarbhollow_distribution.feed import NodeFeed
from rhubarbhollow_distribution.feed_settings import FeedSettings
from rhubarbhollow_distribution.hello import Hello
from rhubarbhollow_distribution.ledger_view import LedgerView
from rhubarbhollow_distribution.node_register import NodeRegister
from rhubarbhollow_distribution.welcome import Welcome
from rhubarbhollow_rollout.command import (
    StartRollout,
    encode_rollout_command,
)
from rhubarbhollow_rollout.messages import RolloutExposure, RolloutReport
from rhubarbhollow_wire.clock import ManualClock
from rhubarbhollow_wire.traffic import Traffic

LEASE_SECONDS = 4.0
VIEW = LedgerView(0, 0, True, 0.0, 0)
RECORD = EndpointRecord(
    "bench", "test-bench", "n1", "ilala", "127.0.0.1", 1, 9, 1, -1, 7, 1
)


class NoReleases:
    """A release source without any release."""

    def maybe_digest(self, position):
        return None


class Harness:
    """The nodes of one control instance, on a manual clock."""

    def __init__(self):
        self.clock = ManualClock()
        self.random = Random(1)
        self.store = EndpointStore("c1", 1, self.clock)
        self.register = NodeRegister("c1", "ilala", self.clock, LEASE_SECONDS)
        hello = PeerHello("mesh", "c1", 1, 0)
        self.peers = links = PeerLinks(
            hello, ControlDirectory(), Traffic(), self.random
        )
        self.machine = machine = ReleaseMachine("mesh", {})
        self.status = status = SimpleNamespace(confirmed_at=0.0, is_fresh=True)
        replica = SimpleNamespace(status=status)
        self.nodes = NodeConnections(
            Welcome("c1", "ilala", 1),
            self.register,
            AdmissionQueue(
                rate=10,
                burst=10,
                limit=10,
                clock=self.clock,
                random=self.random,
            ),
            self.store,
            EndpointExchange(
                "c1",
                self.store,
                links,
                self.clock,
                EndpointPacer(self.clock, 0.0, 0.0),
            ),
            QuarantineRelay(self.clock),
            links,
            self.clock,
            LEASE_SECONDS,
            ControlDirectory(),
            RolloutFeed(machine, replica, self.clock),
            RolloutCoordinator("c1", 1, machine, replica, links, self.clock),
        )

    def join(self, incarnation=7):
        hello = Hello("mesh", "n1", "ilala", incarnation, 0, b"", 0, "", 0)
        link = self.link(hello)
        self.nodes.join(link, VIEW)
        record = replace(RECORD, incarnation=incarnation)
        self.nodes.handle_message(link, EndpointReport((record,)), VIEW)
        return link

    def link(self, hello):
        feed = NodeFeed(
            hello,
            data_centre="ilala",
            settings=FeedSettings(0.0, 1.0),
            releases=NoReleases(),
            endpoints=self.store,
            clock=self.clock,
        )
        return NodeLink(hello, feed)


def test_a_disconnected_node_does_not_delay_releases():
    """Guard against waiting for a node whose connection ended.

    It may be connected to another control instance by now. Its
    endpoints stay until its lease ends.
    """
    harness = Harness()
    link = harness.join()
    assert harness.register.summary().live_nodes == 1
    harness.nodes.leave(link)
    assert harness.register.summary().live_nodes == 0
    assert harness.store.records == (RECORD,)


@pytest.mark.parametrize("returns", [False, True])
def test_endpoints_are_removed_only_after_the_lease_ends(returns):
    """Guard against endpoints that vanish during a short reconnect."""
    harness = Harness()
    harness.nodes.leave(harness.join())
    harness.clock.advance(LEASE_SECONDS / 2)
    if returns:
        harness.join(incarnation=8)
    harness.nodes.tick(VIEW)
    assert len(harness.store.records) == 1
    harness.clock.advance(LEASE_SECONDS * 0.75)
    harness.nodes.tick(VIEW)
    assert bool(harness.store.records) is returns


def test_a_silent_connection_ends_with_its_lease():
    """Guard against a lost node that stays connected indefinitely."""
    harness = Harness()
    link = harness.join()
    # A single long step would look like a pause of this process.
    for _ in range(45):
        harness.clock.advance(0.1)
        harness.nodes.tick(VIEW)
    assert link.is_ended
    assert harness.store.records == ()


def test_an_older_connection_of_the_same_node_is_replaced():
    """Guard against the end of an old connection removing the node.

    The node reconnects before its old connection is seen to end.
    """
    harness = Harness()
    old, new = harness.join(), harness.join()
    assert old.is_ended
    harness.nodes.leave(old)
    assert harness.register.summary().live_nodes == 1
    assert not new.is_ended


@pytest.mark.parametrize(
    "changes",
    [
        {"peer_port": 65_536},
        {"peer_host": "a..b"},
        {"state": 99},
        {"incarnation": 1 << 62},
        # A node tells of itself only.
        {"node": "n2"},
        {"node": "n2", "incarnation": 1 << 60},
    ],
)
def test_an_odd_record_leaves_the_others_of_its_report(changes):
    """An odd record must not reach a process that uses it."""
    harness = Harness()
    link = harness.join()
    good = replace(RECORD, name="good", sequence=2)
    odd = replace(RECORD, name="odd", sequence=3, **changes)
    report = EndpointReport((odd, good))
    harness.nodes.handle_message(link, report, VIEW)
    assert harness.store.records == (RECORD, good)


def test_a_node_that_misses_endpoint_changes_is_disconnected():
    """Guard against a node whose endpoint table stays outdated.

    It reconnects with a hello that names its table version.
    """
    harness = Harness()
    link = harness.join()
    harness.nodes.handle_message(link, EndpointsRequest("n1"), VIEW)
    assert link.is_ended


def test_a_restart_removes_the_previous_endpoints_of_a_node():
    """Guard against calls to upstreams of a node's last incarnation."""
    harness = Harness()
    harness.nodes.leave(harness.join())
    hello = Hello("mesh", "n1", "ilala", 8, 0, b"", 0, "", 0)
    harness.nodes.join(harness.link(hello), VIEW)
    assert harness.store.records == ()


def test_a_reconnected_peer_receives_crash_evidence_once():
    """Guard against evidence that a disconnected peer misses.

    It is sent once on each new connection.
    """
    harness = Harness()
    peers = harness.peers.by_name
    sent = []
    link = peers["c2"] = SimpleNamespace(
        is_up=False, generation=0, send=sent.append
    )
    crash = CrashReport(b"f", "n1/bench", 1, harness.clock.utc().timestamp())
    harness.nodes.forward_crash_evidence(crash, is_from_peer=True)
    for generation in (1, 1, 2):
        harness.nodes.tick(VIEW)
        link.is_up, link.generation = True, generation
        harness.nodes.tick(VIEW)
    assert sent == [crash, crash]


def test_a_node_whose_clock_is_behind_gets_a_higher_incarnation():
    """Guard against records that lose to those of an earlier process.

    The incarnation is the start time; after a clock step backwards it
    is lower than that of the process before.
    """
    harness = Harness()
    harness.nodes.leave(harness.join(incarnation=2_000))
    hello = Hello("mesh", "n1", "ilala", 500, 0, b"", 0, "", 0)
    link = harness.link(hello)
    harness.nodes.join(link, VIEW)
    assert link.hello.incarnation == 2_001
    assert harness.register.entries[0].incarnation == 2_001
    record = replace(RECORD, incarnation=link.hello.incarnation)
    harness.nodes.handle_message(link, EndpointReport((record,)), VIEW)
    assert harness.store.records == (record,)


def test_a_reconnect_of_the_same_process_keeps_its_incarnation():
    """Guard against raising the incarnation on every reconnect."""
    harness = Harness()
    harness.nodes.leave(harness.join(incarnation=2_000))
    assert harness.join(incarnation=2_000).hello.incarnation == 2_000


def order(harness, version="v2"):
    harness.machine.apply(
        0, encode_rollout_command(StartRollout("desk", version, 9_000, 0))
    )


def exposures(link):
    messages = iter(link.outbox._maybe_next, None)
    return [each for each in messages if isinstance(each, RolloutExposure)]


def test_nothing_is_said_of_rollouts_before_the_first_order():
    harness = Harness()
    assert not exposures(harness.join())


def test_a_node_hears_of_each_change_of_a_rollout_once():
    harness = Harness()
    link = harness.join()
    order(harness)
    harness.nodes.feed_all(VIEW)
    harness.nodes.feed_all(VIEW)
    (sent,) = exposures(link)
    assert [view.new_version for view in sent.rollouts] == ["v2"]
    # One that joins later hears of it as well.
    again = harness.join()
    assert exposures(again)[0].rollouts == sent.rollouts


def test_a_report_is_answered_with_the_age_of_what_is_known():
    """Without it a node would trust an instance that is cut off."""
    harness = Harness()
    link = harness.join()
    order(harness)
    harness.nodes.feed_all(VIEW)
    exposures(link)
    harness.clock.advance(1.5)
    harness.nodes.handle_message(link, RolloutReport(3, ()), VIEW)
    assert exposures(link) == [RolloutExposure(3, 1500, ())]
    harness.status.confirmed_at = None
    harness.nodes.handle_message(link, RolloutReport(4, ()), VIEW)
    assert exposures(link)[0].age_ms > 60_000

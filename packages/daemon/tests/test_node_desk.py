from dataclasses import replace
from random import Random
from types import SimpleNamespace

import pytest

from rhubarbhollow_calls.quarantine_message import CrashReport
from rhubarbhollow_daemon.endpoint_exchange import EndpointExchange
from rhubarbhollow_daemon.messages import EndpointsRequest, PeerHello
from rhubarbhollow_daemon.node_desk import NodeDesk
from rhubarbhollow_daemon.node_link import NodeLink
from rhubarbhollow_daemon.peer_links import PeerLinks
from rhubarbhollow_daemon.quarantine_relay import QuarantineRelay
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
from rhubarbhollow_wire.clock import ManualClock
from rhubarbhollow_wire.traffic import Traffic

LEASE_SECONDS = 4.0
VIEW = LedgerView(0, 0, True, 0.0, 0)
RECORD = EndpointRecord(
    "bench", "test-bench", "n1", "ilala", "127.0.0.1", 1, 9, 1, -1, 7, 1
)


class NoReleases:
    def maybe_digest(self, position):
        return None


class Desk:
    def __init__(self):
        self.clock = ManualClock()
        self.random = Random(1)
        self.store = EndpointStore("c1", 1, self.clock)
        self.register = NodeRegister("c1", "ilala", self.clock, LEASE_SECONDS)
        hello = PeerHello("mesh", "c1", 1, 0)
        self.peers = links = PeerLinks(
            hello, ControlDirectory(), Traffic(), self.random
        )
        self.desk = NodeDesk(
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
        )

    def join(self, incarnation=7):
        hello = Hello("mesh", "n1", "ilala", incarnation, 0, b"", 0, "", 0)
        link = self.link(hello)
        self.desk.join(link, VIEW)
        record = replace(RECORD, incarnation=incarnation)
        self.desk.hear(link, EndpointReport((record,)), VIEW)
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


def test_a_node_that_left_holds_no_release_up():
    desk = Desk()
    link = desk.join()
    assert desk.register.summary().live_nodes == 1
    desk.desk.leave(link)
    assert desk.register.summary().live_nodes == 0
    assert desk.store.records == (RECORD,)


@pytest.mark.parametrize("returns", [False, True])
def test_endpoints_go_only_when_the_lease_has_ended(returns):
    desk = Desk()
    desk.desk.leave(desk.join())
    desk.clock.advance(LEASE_SECONDS / 2)
    if returns:
        desk.join(incarnation=8)
    desk.desk.tick(VIEW)
    assert len(desk.store.records) == 1
    desk.clock.advance(LEASE_SECONDS * 0.75)
    desk.desk.tick(VIEW)
    assert bool(desk.store.records) is returns


def test_a_silent_connection_ends_with_its_lease():
    desk = Desk()
    link = desk.join()
    # a single long step would look like a pause of this process
    for _ in range(45):
        desk.clock.advance(0.1)
        desk.desk.tick(VIEW)
    assert link.is_ended
    assert desk.store.records == ()


def test_an_older_connection_of_the_same_node_is_replaced():
    desk = Desk()
    old, new = desk.join(), desk.join()
    assert old.is_ended
    desk.desk.leave(old)
    assert desk.register.summary().live_nodes == 1
    assert not new.is_ended


def test_a_node_that_missed_endpoints_is_sent_to_greet_again():
    desk = Desk()
    link = desk.join()
    desk.desk.hear(link, EndpointsRequest("n1"), VIEW)
    assert link.is_ended


def test_a_restarted_node_buries_what_it_announced_before():
    desk = Desk()
    desk.desk.leave(desk.join())
    hello = Hello("mesh", "n1", "ilala", 8, 0, b"", 0, "", 0)
    desk.desk.join(desk.link(hello), VIEW)
    assert desk.store.records == ()


def test_a_peer_that_comes_back_learns_of_crashes():
    desk = Desk()
    peers = desk.peers.by_name
    sent = []
    link = peers["c2"] = SimpleNamespace(
        is_up=False, generation=0, send=sent.append
    )
    crash = CrashReport(b"f", "n1/bench", 1, desk.clock.utc().timestamp())
    desk.desk.spread(crash, is_from_peer=True)
    for generation in (1, 1, 2):
        desk.desk.tick(VIEW)
        link.is_up, link.generation = True, generation
        desk.desk.tick(VIEW)
    assert sent == [crash, crash]


def test_a_process_that_starts_in_the_past_is_given_a_later_start():
    desk = Desk()
    desk.desk.leave(desk.join(incarnation=2_000))
    hello = Hello("mesh", "n1", "ilala", 500, 0, b"", 0, "", 0)
    link = desk.link(hello)
    desk.desk.join(link, VIEW)
    assert link.hello.incarnation == 2_001
    assert desk.register.entries[0].incarnation == 2_001
    record = replace(RECORD, incarnation=link.hello.incarnation)
    desk.desk.hear(link, EndpointReport((record,)), VIEW)
    assert desk.store.records == (record,)


def test_a_reconnect_of_the_same_process_keeps_its_start():
    desk = Desk()
    desk.desk.leave(desk.join(incarnation=2_000))
    assert desk.join(incarnation=2_000).hello.incarnation == 2_000

"""Messages that a feed sends to its node, as scripts."""

from __future__ import annotations

import pytest
from endpoint_fakes import load, record
from script_cases import cases, play
from small_releases import (
    QUICK,
    Releases,
    hello_of,
    holder_at,
    resources_at,
    stage_at,
    view_at,
)

from rhubarbhollow_distribution.activate import Activate
from rhubarbhollow_distribution.active_report import ActiveReport
from rhubarbhollow_distribution.control_heartbeat import ControlHeartbeat
from rhubarbhollow_distribution.endpoint_change import EndpointChange
from rhubarbhollow_distribution.endpoint_report import EndpointReport
from rhubarbhollow_distribution.endpoint_store import EndpointStore
from rhubarbhollow_distribution.feed import (
    LOCAL_START_SECONDS,
    START_POLL_SECONDS,
    NodeFeed,
)
from rhubarbhollow_distribution.feed_settings import FeedSettings
from rhubarbhollow_distribution.local_source import LocalSource
from rhubarbhollow_distribution.node_heartbeat import NodeHeartbeat
from rhubarbhollow_distribution.stage import Stage
from rhubarbhollow_distribution.stage_request import StageRequest
from rhubarbhollow_distribution.staged_report import StagedReport
from rhubarbhollow_wire.clock import ManualClock

SLOW = FeedSettings(10, 100, load_seconds=20)


class FeedHarness:
    """Drive a feed, its inputs and the messages of its node."""

    def __init__(
        self, hello, settings=QUICK, *, local_source=LocalSource.NONE
    ):
        self.clock = ManualClock()
        self.releases = Releases()
        self.store = EndpointStore("own", 1, self.clock)
        self.make = lambda: NodeFeed(
            hello,
            data_centre="ilala",
            settings=settings,
            releases=self.releases,
            endpoints=self.store,
            clock=self.clock,
            local_source=lambda: local_source,
        )
        self.feed = None

    def latest(self, position):
        self.releases.latest = position
        self.feed = self.feed or self.make()

    def send(self, active, floor=None, fresh=1, confirmed=1000):
        latest = self.releases.latest
        view = view_at(
            latest,
            active,
            is_fresh=bool(fresh),
            confirmed_at=confirmed,
            recorded_floor=latest if floor is None else floor,
        )
        sent = []
        while (message := self.feed.next_message(view)) is not None:
            sent.append(self.describe(message))
            assert len(sent) < 10
        return ", ".join(each for each in sent if each)

    def describe(self, message):
        match message:
            case Stage(position=position):
                base, built = self.releases.built[-1]
                assert message == stage_at(position, base)
                assert built == position
                return f"{position}-{base}"
            case Activate(position=position, digest=digest):
                assert digest == resources_at(position).digest
                return f"activate {position}"
            case ControlHeartbeat():
                assert message.latest_position == self.releases.latest
                return "fresh" if message.is_fresh else "stale"
            case EndpointChange():
                return "+".join(each.name for each in message.records)

    def staged(self, position):
        digest = resources_at(position).digest
        self.feed.accept(StagedReport(position, digest))

    def active(self, position):
        self.feed.accept(ActiveReport(position))

    def heartbeat(self, active, staged):
        self.feed.accept(NodeHeartbeat(active, staged))
        self.feed.accept(EndpointReport(()))

    def request(self, base):
        digest = resources_at(base).digest if base else b""
        self.feed.accept(StageRequest(base, digest))

    def put(self, name, sequence, percent=-1):
        each = load(record(name, sequence=sequence), percent)
        self.store.merge([each], "own")

    def wait(self, seconds):
        self.clock.advance(seconds)

    def at(self):
        return self.feed.active_position


def hello_at(*positions, **changes):
    active = positions[0] if positions else 0
    holder = holder_at(ManualClock(), *positions, active=active)
    return hello_of(holder, **changes)


@pytest.mark.parametrize(("holds", "settings", "script"), cases("feed"))
def test_script(holds, settings, script):
    harness = FeedHarness(
        hello_at(*holds), SLOW if settings == "slow" else QUICK
    )
    play(harness, script)


@pytest.mark.parametrize(
    ("holds", "data_centre", "local_source", "script"),
    [
        ((), "temeke", LocalSource.KNOWN, "send 0 = ; wait 0.5; send 0 = 4-0"),
        (
            (),
            "temeke",
            LocalSource.REACHABLE,
            "send 0 = ; wait 1.9; send 0 = fresh; wait 0.1; send 0 = 4-0",
        ),
        ((), "temeke", LocalSource.NONE, "send 0 = 4-0"),
        ((), "ilala", LocalSource.REACHABLE, "send 0 = 4-0"),
        ((3,), "temeke", LocalSource.REACHABLE, "send 3 = 4-3"),
    ],
)
def test_a_whole_release_waits_for_a_node_that_has_a_local_source(
    holds, data_centre, local_source, script
):
    """Guard against whole releases that cross data centres at a start.

    Nodes connect to a seed first, mostly in another data centre; all of
    them got the first release, 82 KB each, before they knew a local
    instance.
    """
    harness = FeedHarness(
        hello_at(*holds, data_centre=data_centre),
        local_source=local_source,
    )
    play(harness, f"latest 4; {script}")


def test_a_held_release_is_due_when_the_wait_ends():
    harness = FeedHarness(
        hello_at(data_centre="temeke"), SLOW, local_source=LocalSource.KNOWN
    )
    play(harness, "latest 4; send 0 = ")
    assert harness.feed.next_due() <= LOCAL_START_SECONDS[LocalSource.KNOWN]


def test_isolated_instance_starts_no_remote_node():
    harness = FeedHarness(hello_at(data_centre="temeke"))
    play(harness, "latest 4; send 4 fresh:0 = 4-0, stale; staged 4; wait 9")
    play(harness, "send 4 fresh:0 = stale; send 4 = activate 4, fresh")


def test_reconnect_without_changes_sends_nothing():
    changes = {"endpoints_source": "own/1", "endpoints_version": 1}
    harness = FeedHarness(hello_at(5, 6, **changes))
    play(harness, "put a 1; latest 6")
    assert harness.feed.next_message(view_at(6, 5)) is None
    assert harness.feed.next_due() == QUICK.heartbeat_seconds


def test_next_due_covers_coalescing_windows_and_the_start():
    harness = FeedHarness(hello_at(1), SLOW)
    play(harness, "latest 2; send 1 = 2-1; staged 2; latest 3; send 1 =")
    assert harness.feed.next_due() == 5
    play(harness, "wait 6")
    assert harness.feed.next_due() == 10
    harness = FeedHarness(hello_at())
    play(harness, "latest 4; send 4 confirmed:0 = 4-0")
    assert harness.feed.is_waiting_to_start
    assert harness.feed.next_due() == START_POLL_SECONDS
    play(harness, "send 4")
    assert not harness.feed.is_waiting_to_start

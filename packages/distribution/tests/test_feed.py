from __future__ import annotations

import pytest
from endpoint_fakes import load, record
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
from rhubarbhollow_distribution.feed import START_POLL_SECONDS, NodeFeed
from rhubarbhollow_distribution.feed_settings import FeedSettings
from rhubarbhollow_distribution.holder import MAX_STAGED_RELEASES
from rhubarbhollow_distribution.node_heartbeat import NodeHeartbeat
from rhubarbhollow_distribution.stage_request import StageRequest
from rhubarbhollow_distribution.staged_report import StagedReport
from rhubarbhollow_distribution.start_rule import ISOLATION_WAIT_SECONDS
from rhubarbhollow_wire.clock import ManualClock

SLOW = FeedSettings(coalescing_seconds=10, heartbeat_seconds=100)


class Bench:
    """A feed with the sources that it reads."""

    def __init__(self, hello, latest=0, settings=QUICK):
        self.clock = ManualClock()
        self.releases = Releases(latest)
        self.store = EndpointStore("own", 1, self.clock)
        self.feed = NodeFeed(
            hello,
            data_centre="ilala",
            settings=settings,
            releases=self.releases,
            endpoints=self.store,
            clock=self.clock,
        )

    def send(self, active, **changes):
        """Return all messages that are due, endpoints left out."""
        view = view_at(self.releases.latest, active, **changes)
        sent = []
        while (message := self.feed.next_message(view)) is not None:
            sent.append(message)
            assert len(sent) < 10
        return [
            each
            for each in sent
            if not (isinstance(each, EndpointChange) and not each.records)
        ]


def activate(position):
    return Activate(position, resources_at(position).digest)


def staged(position):
    return StagedReport(position, resources_at(position).digest)


def hello_at(active, *also_staged):
    clock = ManualClock()
    return hello_of(
        holder_at(clock, active, *also_staged, active=active)
        if active
        else None
    )


def test_release_is_staged_then_activated():
    bench = Bench(hello_at(1), latest=2)
    assert bench.send(1) == [stage_at(2, 1)]
    assert bench.send(1) == []
    bench.feed.accept(staged(2))
    assert bench.send(1) == []
    assert bench.send(2) == [activate(2)]
    assert bench.send(2) == []
    bench.feed.accept(ActiveReport(2))
    assert bench.feed.active_position == 2
    assert bench.send(2) == []


def test_hundreds_of_changes_make_one_difference():
    bench = Bench(hello_at(1), latest=300)
    assert bench.send(1) == [stage_at(300, 1)]
    assert bench.releases.built == [(1, 300)]
    assert len(stage_at(300, 1).difference) < 200


def test_one_stage_is_outstanding_at_a_time():
    bench = Bench(hello_at(1), latest=2)
    assert bench.send(1) == [stage_at(2, 1)]
    bench.releases.latest = 5
    assert bench.send(1) == []
    bench.feed.accept(staged(2))
    assert bench.send(1) == [stage_at(5, 2)]
    bench.clock.advance(QUICK.stage_timeout_seconds)
    bench.releases.latest = 6
    assert bench.send(1)[0] == stage_at(6, 2)


def test_changes_within_the_window_are_coalesced():
    bench = Bench(hello_at(1), latest=2, settings=SLOW)
    assert bench.send(1) == [stage_at(2, 1)]
    bench.feed.accept(staged(2))
    for latest in range(3, 8):
        bench.releases.latest = latest
        assert bench.send(1) == []
        bench.clock.advance(1)
    assert bench.feed.next_due() == 10
    bench.clock.advance(5)
    assert bench.send(1) == [stage_at(7, 2)]


def test_released_position_that_was_skipped_is_staged_first():
    bench = Bench(hello_at(1, 4), latest=6)
    assert bench.send(3) == [stage_at(3, 4)]
    bench.feed.accept(staged(3))
    assert bench.send(3) == [activate(3), stage_at(6, 4)]


def test_node_that_knows_more_is_left_alone():
    bench = Bench(hello_at(7, 9), latest=5)
    assert bench.send(5) == []
    bench.releases.latest = 8
    assert bench.send(8) == [stage_at(8, 7)]


def test_node_keeps_what_it_reported_as_staged():
    bench = Bench(hello_at(1), latest=1)
    for position in range(2, MAX_STAGED_RELEASES + 2):
        bench.releases.latest = position
        assert bench.send(1) == [stage_at(position, position - 1)]
        bench.feed.accept(staged(position))
    bench.releases.latest = 90
    assert bench.send(1) == []
    assert bench.send(3) == [activate(3)]
    bench.feed.accept(ActiveReport(3))
    assert bench.send(3) == [stage_at(90, MAX_STAGED_RELEASES + 1)]


@pytest.mark.parametrize(
    ("base", "expected"),
    [(3, stage_at(9, 3)), (1, stage_at(9, 1)), (None, stage_at(9))],
)
def test_request_is_answered_against_what_the_node_holds(base, expected):
    bench = Bench(hello_at(1, 3), latest=8, settings=SLOW)
    assert bench.send(1) == [stage_at(8, 3)]
    bench.releases.latest = 9
    digest = resources_at(base).digest if base else b""
    bench.feed.accept(StageRequest(base or 0, digest))
    assert bench.send(1) == [expected]


def test_heartbeats_and_reports_repair_what_the_feed_believes():
    bench = Bench(hello_at(1), latest=4)
    bench.feed.accept(NodeHeartbeat(2, 3))
    assert bench.feed.active_position == 2
    assert bench.send(3) == [activate(3), stage_at(4, 3)]
    bench.feed.accept(EndpointReport(()))
    bench.feed.accept(NodeHeartbeat(4, 4))
    bench.feed.accept(ActiveReport(3))
    bench.feed.accept(staged(3))
    assert bench.feed.active_position == 4
    assert bench.send(4) == []


def test_nothing_is_offered_above_the_recorded_floor():
    bench = Bench(hello_at(1), latest=3)
    assert bench.send(1, recorded_floor=1) == []
    assert bench.send(1, recorded_floor=2) == [stage_at(2, 1)]
    bench.feed.accept(staged(3))
    assert bench.send(3, recorded_floor=2) == []
    assert bench.send(3, recorded_floor=3) == [activate(3)]


def test_reconnect_with_nothing_new_sends_nothing():
    bench = Bench(hello_at(5, 6), latest=6)
    bench.store.merge([record()], "own")
    version = bench.store.version
    hello = hello_of(
        holder_at(bench.clock, 5, 6, active=5),
        endpoints_source=bench.store.source,
        endpoints_version=version,
    )
    again = Bench(hello, latest=6)
    again.store.merge([record()], "own")
    assert again.feed.next_message(view_at(6, 5)) is None
    assert again.feed.next_due() == QUICK.heartbeat_seconds


def test_heartbeat_is_sent_when_idle_or_when_freshness_turns():
    bench = Bench(hello_at(1), latest=1)
    bench.clock.advance(0.5)
    assert bench.send(1, is_fresh=False) == [ControlHeartbeat(False, 1, 1)]
    assert bench.send(1, is_fresh=False) == []
    assert bench.send(1) == [ControlHeartbeat(True, 1, 1)]
    bench.clock.advance(QUICK.heartbeat_seconds)
    assert bench.send(1) == [ControlHeartbeat(True, 1, 1)]


def test_endpoints_are_coalesced_and_load_more_so():
    settings = FeedSettings(2.0, 100.0, load_seconds=20.0)
    bench = Bench(hello_at(1), latest=1, settings=settings)
    changes = []
    for second in range(1, 41):
        percent = second if second != 31 else -1
        bench.store.merge([load(record(sequence=second), percent)], "own")
        if second in (3, 4):
            bench.store.merge([record("b", sequence=second)], "own")
        changes += [
            (second, [each.name for each in message.records])
            for message in bench.send(1)
        ]
        bench.clock.advance(1)
    assert changes == [(1, ["a"]), (3, ["b", "a"]), (23, ["a", "b"])]


def test_node_without_memory_is_staged_at_once_and_started_by_the_rule():
    bench = Bench(hello_at(0), latest=4)
    early = {"confirmed_at": 0.0}
    assert bench.feed.is_waiting_to_start
    assert bench.send(4, **early) == [stage_at(4)]
    bench.feed.accept(staged(4))
    assert bench.send(4, **early) == []
    assert bench.feed.next_due() == START_POLL_SECONDS
    assert bench.send(4, confirmed_at=0.1) == [activate(4)]
    assert not bench.feed.is_waiting_to_start


@pytest.mark.parametrize(
    ("data_centre", "floor", "expected"),
    [("ilala", 3, 3), ("ilala", 5, None), ("temeke", 3, None)],
)
def test_isolated_instance_starts_only_its_own(data_centre, floor, expected):
    bench = Bench(hello_of(data_centre=data_centre), latest=4)
    isolated = {"is_fresh": False, "recorded_floor": floor}
    sent = bench.send(2, **isolated)
    if floor >= 3:
        assert sent[0] == stage_at(min(4, floor))
    bench.feed.accept(staged(min(4, floor)))
    bench.clock.advance(ISOLATION_WAIT_SECONDS)
    orders = [
        each
        for each in bench.send(2, **isolated)
        if isinstance(each, Activate)
    ]
    assert orders == ([activate(expected)] if expected else [])

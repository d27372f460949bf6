"""Departures of upstreams around restarts of every process."""

import json
from datetime import UTC, datetime, timedelta
from types import SimpleNamespace

import anyio
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from result import Err, Ok

from rhubarbhollow_daemon.http_request import HttpRequest
from rhubarbhollow_distribution.departure_command import RecordDepartures
from rhubarbhollow_distribution.departure_ledger import DepartureLedger
from rhubarbhollow_platform import discovery_port
from rhubarbhollow_platform.discovery_port import DiscoveryPort
from rhubarbhollow_wire.clock import ManualClock

BOOT = SimpleNamespace(
    service="desk",
    host="10.1.0.4",
    announcement_seconds=1.5,
    has_rollouts=False,
)
START = datetime(2026, 1, 1, tzinfo=UTC)
# Heartbeats are not later than this.
LATEST_SECONDS = 10


class Upstreams:
    """The upstreams that a node lists, by name."""

    def __init__(self):
        self.listed = {}

    @property
    def announcements(self):
        return tuple(self.listed.values())

    def announce(self, announcement):
        self.listed[announcement.name] = announcement
        return Ok(announcement)

    def withdraw(self, name):
        return Ok(self.listed.pop(name)) if name in self.listed else Err(name)


class Quorum:
    """Departures on the disks of the control instances."""

    def __init__(self):
        self.ledger = DepartureLedger()
        self.is_up = True
        self.loses_answers = False
        self.commands = 0

    async def record(self, departure, timeout_seconds):
        if not self.is_up:
            return False
        self.commands += 1
        self.ledger.apply(RecordDepartures("n1", (departure,)))
        return not self.loses_answers

    async def recall(self):
        if not self.is_up:
            await anyio.sleep_forever()
        return self.ledger.of("n1")

    def restart(self):
        self.ledger = DepartureLedger.restore(self.ledger.snapshot())


def body_of(sequence, started_at_ms, state="ready"):
    value = {
        "Service": "desk",
        "Address": "10.1.0.4:8145",
        "Zone": "ilala",
        "Slots": 9,
        "State": state,
        "Sequence": sequence,
        "born": started_at_ms,
    }
    return json.dumps(value).encode()


def send(port, method, name, body=b""):
    request = HttpRequest(method, "/", "", body)
    handler = port.announce if method == "PUT" else port.withdraw
    return anyio.run(handler, request, {"name": name}).status


class Departures(RuleBasedStateMachine):
    """Play one upstream after another beside a node that restarts.

    The model is the promise: once it was acknowledged that a process
    drains or has withdrawn, it is not listed as ready any more.
    """

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(START)
        self.quorum = Quorum()
        self.sent = []
        self.departed = set()
        self.generation = 0
        self.restart(is_of_all=False, recalls=True)
        self.begin_process(is_same_name=True)

    def now_ms(self):
        return round(self.clock.utc().timestamp() * 1000)

    @property
    def process(self):
        return (self.name, self.started_at_ms)

    def deliver(self, heartbeat):
        name, started_at_ms, sequence, state, _ = heartbeat
        body = body_of(sequence, started_at_ms, state)
        status = send(self.port, "PUT", name, body)
        if status == 200 and state == "draining":
            self.departed.add((name, started_at_ms))
        return status

    @rule(is_of_all=st.booleans(), recalls=st.booleans())
    def restart(self, is_of_all, recalls):
        if is_of_all:
            self.quorum.restart()
        self.upstreams = Upstreams()
        self.port = DiscoveryPort(
            BOOT, self.upstreams, self.quorum, self.clock
        )
        self.is_recalled = False
        if recalls and self.quorum.is_up:
            self.recall()

    @precondition(lambda self: self.quorum.is_up and not self.is_recalled)
    @rule()
    def recall(self):
        anyio.run(self.port.recall)
        self.is_recalled = True

    @rule(state=st.sampled_from(["up", "up", "up", "down", "lossy"]))
    def change_quorum(self, state):
        self.quorum.is_up = state != "down"
        self.quorum.loses_answers = state == "lossy"

    def beat(self):
        """Send a heartbeat, a copy of which may arrive at any time."""
        self.clock.advance(1)
        self.sequence += 1
        now = self.clock.monotonic()
        heartbeat = (*self.process, self.sequence, self.state, now)
        self.sent.append(heartbeat)
        return heartbeat

    @precondition(lambda self: self.state == "ready")
    @rule(is_lost=st.booleans())
    def beat_ready(self, is_lost):
        heartbeat = self.beat()
        if is_lost:
            return
        assert self.deliver(heartbeat) == 200
        if self.is_recalled:
            assert not self.upstreams.listed[self.name].is_leaving

    @rule(data=st.data())
    def deliver_late(self, data):
        oldest = self.clock.monotonic() - LATEST_SECONDS
        self.sent = [each for each in self.sent if each[4] >= oldest]
        if self.sent:
            self.deliver(data.draw(st.sampled_from(self.sent)))

    @precondition(lambda self: self.state != "gone")
    @rule(is_lost=st.booleans())
    def drain(self, is_lost):
        self.state = "draining"
        heartbeat = self.beat()
        if not is_lost:
            self.deliver(heartbeat)

    @rule()
    def withdraw(self):
        self.state = "gone"
        if send(self.port, "DELETE", self.name) == 200:
            self.departed.add(self.process)

    @precondition(lambda self: self.state == "gone")
    @rule(is_same_name=st.booleans())
    def begin_process(self, is_same_name):
        self.clock.advance(1)
        self.generation += not is_same_name
        self.name = f"i-{self.generation}"
        self.started_at_ms = self.now_ms()
        self.sequence = 0
        self.state = "ready"

    @invariant()
    def no_departed_process_is_listed_as_ready(self):
        for each in self.upstreams.announcements:
            process = (each.name, each.started_at_ms)
            assert each.is_leaving or process not in self.departed

    @invariant()
    def what_the_quorum_holds_is_bounded(self):
        assert len(self.quorum.ledger.of("n1")) <= 16


TestDepartures = Departures.TestCase
TestDepartures.settings = settings(
    max_examples=400, stateful_step_count=25, deadline=None
)


def port_of(quorum):
    upstreams = Upstreams()
    clock = ManualClock(START)
    return DiscoveryPort(BOOT, upstreams, quorum, clock), upstreams


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_a_departure_without_a_durable_record_is_not_acknowledged(state):
    """Guard against a departure that a kill of all processes undoes.

    It takes effect here all the same, and the upstream repeats it.
    """
    quorum = Quorum()
    port, upstreams = port_of(quorum)
    anyio.run(port.recall)
    send(port, "PUT", "i-1", body_of(1, 500))
    assert list(upstreams.listed) == ["i-1"]

    def leave():
        if state == "gone":
            return send(port, "DELETE", "i-1")
        return send(port, "PUT", "i-1", body_of(2, 500, state))

    quorum.is_up = False
    assert leave() == 503
    assert all(each.is_leaving for each in upstreams.announcements)
    quorum.is_up = True
    assert leave() == leave() == 200
    # A departure that is on record is not written again.
    assert quorum.commands == 1
    assert all(each.is_leaving for each in upstreams.announcements)


def test_heartbeats_before_the_recall_are_listed_after_it():
    quorum = Quorum()
    port, upstreams = port_of(quorum)
    for sequence in (3, 1, 2):
        assert send(port, "PUT", "i-1", body_of(sequence, 500)) == 200
    assert not upstreams.listed
    anyio.run(port.recall)
    assert list(upstreams.listed) == ["i-1"]


def test_a_node_without_a_quorum_lists_upstreams_after_a_while(monkeypatch):
    """Guard against an upstream kept away while no quorum answers.

    Heartbeats are not as late as the time waited.
    """
    monkeypatch.setattr(
        discovery_port, "WITHDRAWAL_MEMORY", timedelta(milliseconds=10)
    )
    quorum = Quorum()
    quorum.is_up = False
    port, upstreams = port_of(quorum)
    send(port, "PUT", "i-1", body_of(1, 500))

    async def wait():
        with anyio.move_on_after(0.1):
            await port.recall()

    anyio.run(wait)
    assert list(upstreams.listed) == ["i-1"]


@pytest.mark.parametrize("name", ["", "i 1", "i" * 256, "\ufffd"])
def test_a_withdrawal_of_an_invalid_name_is_refused(name):
    port, _ = port_of(Quorum())
    assert send(port, "DELETE", name) == 400

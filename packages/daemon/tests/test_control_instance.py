from dataclasses import dataclass
from types import SimpleNamespace

import anyio
import anyio.lowlevel
import pytest
from fake_stream import join_connections

from rhubarbhollow_daemon import control_instance
from rhubarbhollow_daemon.control_event import LogAdvanced, PeerSaid
from rhubarbhollow_daemon.control_instance import (
    ABSENT_SECONDS,
    ControlInstance,
)
from rhubarbhollow_daemon.node_messages import EndpointsRequest
from rhubarbhollow_distribution.control_address import ControlAddress
from rhubarbhollow_distribution.control_directory import ControlDirectory
from rhubarbhollow_distribution.feed_settings import FeedSettings
from rhubarbhollow_distribution.hello import Hello
from rhubarbhollow_wire.clock import ManualClock

INBOX_EVENTS = 4
HELLO = Hello("m", "n1", "ilala", 7, 0, b"", 0, "", 0)


@dataclass
class Parts:
    """Stand in for every component and count some of the calls."""

    clock: ManualClock
    latest_position: int = 0
    active_position: int = 0
    fed: int = 0
    record_log_calls: int = 0
    pending: int | None = None

    data_centre = "ilala"
    by_name = ()
    feed_settings = FeedSettings(0.0, 1.0)
    next_due = float("inf")
    recorded = recorded_floor = 9
    version = 0
    register = SimpleNamespace(floor=0, summary=lambda: None)
    # No rollout was ordered.
    rollouts = SimpleNamespace(tick=tuple, revision=0)
    is_fresh = False
    confirmed_at = 0.0

    def __getattr__(self, name):
        return self

    def __call__(self, *arguments):
        return None

    def feed_all(self, view):
        self.fed += 1

    def record_log(self):
        self.record_log_calls += 1


@pytest.fixture(autouse=True)
def small_inbox(monkeypatch):
    monkeypatch.setattr(control_instance, "INBOX_EVENTS", INBOX_EVENTS)


async def settle():
    # The loop under test wakes by itself, so waiting until all tasks
    # are blocked would not work.
    for _ in range(50):
        await anyio.lowlevel.checkpoint()


def fill(instance):
    # The task that is already waiting takes one of them.
    for _ in range(INBOX_EVENTS + 1):
        instance.post(PeerSaid("c2", EndpointsRequest("c2")))


def test_full_inbox_does_not_lose_a_log_change():
    """``LogAdvanced`` is dropped while the inbox is full.

    The nodes must still be fed: the positions of the log are compared
    on every event, whatever woke the loop.
    """
    parts = Parts(ManualClock())
    instance = ControlInstance(parts, None, None, None)

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(instance.run)
            await settle()
            fill(instance)
            parts.latest_position = 1
            instance.post(LogAdvanced())
            await settle()
            group.cancel_scope.cancel()

    anyio.run(main)
    # ``record_log`` is also called once at the start.
    assert (parts.fed, parts.record_log_calls) == (1, 2)


def test_shutdown_does_not_wait_for_a_full_inbox():
    """A connection reports its end to the inbox in a shielded scope.

    With the event loop gone and the inbox full, that send, and the
    shutdown with it, must not block for ever.
    """
    instance = ControlInstance(Parts(ManualClock()), None, None, None)
    connection, _ = join_connections()
    stopped = anyio.Event()

    async def serve(group):
        async with group:
            group.start_soon(instance.serve_node, connection, HELLO)
            group.start_soon(instance.run)
            await anyio.sleep_forever()
        stopped.set()

    async def main():
        inner = anyio.create_task_group()
        async with anyio.create_task_group() as outer:
            outer.start_soon(serve, inner)
            await settle()
            fill(instance)
            inner.cancel_scope.cancel()
            await settle()
            is_stopped = stopped.is_set()
            # End a wait in a shielded scope, so that the test can fail.
            instance._receiver.close()
            outer.cancel_scope.cancel()
        assert is_stopped
        instance.post(LogAdvanced())

    anyio.run(main)


def test_failed_floor_sync_is_retried_after_a_delay():
    """A failing disk must not cause a sync attempt on every event."""
    parts = Parts(ManualClock(), pending=3)
    instance = ControlInstance(parts, None, None, None)
    attempts = []

    def raise_to(position):
        attempts.append(position)
        raise OSError

    parts.raise_to = raise_to

    async def run():
        for _ in range(5):
            await instance._build_ledger_view()
        parts.clock.advance(control_instance.FLOOR_RETRY_SECONDS)
        await instance._build_ledger_view()

    anyio.run(run)
    assert attempts == [3, 3]


def test_nodes_are_told_which_instances_are_gone():
    """Guard against nodes that try replaced instances first.

    One that is gone for less than ``ABSENT_SECONDS``, as during a
    restart, stays in the list.
    """
    addresses = [ControlAddress(n, "", "::1", 1) for n in ("c1", "c2", "c3")]
    links = {n: SimpleNamespace(is_up=True) for n in ("c2", "c3")}
    lists = []
    clock = ManualClock()
    parts = Parts(clock)
    parts.directory = ControlDirectory(addresses)
    parts.links = SimpleNamespace(by_name=links)
    parts.node_connections = SimpleNamespace(
        broadcast=lambda message: lists.append(
            [address.name for address in message.controls]
        )
    )
    instance = ControlInstance(parts, None, None, None)

    def wait(seconds):
        instance._note_absent_controls(clock.monotonic())
        clock.advance(seconds)
        instance._note_absent_controls(clock.monotonic())

    wait(10)
    links["c2"].is_up = False
    wait(ABSENT_SECONDS - 0.1)
    assert lists == []
    wait(0.1)
    assert lists == [["c1", "c3"]]
    assert parts.directory.names == {"c1", "c2", "c3"}
    wait(60)
    links["c2"].is_up = True
    wait(0)
    assert lists == [["c1", "c3"], ["c1", "c2", "c3"]]

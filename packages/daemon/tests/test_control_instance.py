from dataclasses import dataclass
from types import SimpleNamespace

import anyio
import anyio.lowlevel
import pytest
from fake_stream import join_connections

from rhubarbhollow_daemon import control_instance
from rhubarbhollow_daemon.control_event import LogAdvanced, PeerSaid
from rhubarbhollow_daemon.control_instance import ControlInstance
from rhubarbhollow_daemon.messages import EndpointsRequest
from rhubarbhollow_distribution.feed_settings import FeedSettings
from rhubarbhollow_distribution.hello import Hello
from rhubarbhollow_wire.clock import ManualClock

INBOX_EVENTS = 4
HELLO = Hello("m", "n1", "ilala", 7, 0, b"", 0, "", 0)


@dataclass
class Parts:
    """Stand in for every part, and count what it is asked for."""

    clock: ManualClock
    latest_position: int = 0
    active_position: int = 0
    fed: int = 0
    noted: int = 0
    pending: int | None = None

    data_centre = "ilala"
    feed_settings = FeedSettings(0.0, 1.0)
    next_due = float("inf")
    recorded = recorded_floor = 9
    version = 0
    register = SimpleNamespace(floor=0, summary=lambda: None)
    is_fresh = False
    confirmed_at = 0.0

    def __getattr__(self, name):
        return self

    def __call__(self, *arguments):
        return None

    def feed_all(self, view):
        self.fed += 1

    def note_log(self):
        self.noted += 1


@pytest.fixture(autouse=True)
def small_inbox(monkeypatch):
    monkeypatch.setattr(control_instance, "INBOX_EVENTS", INBOX_EVENTS)


async def settle():
    # the loop under test wakes by itself, so it is never just blocked
    for _ in range(50):
        await anyio.lowlevel.checkpoint()


def fill(instance):
    # one goes to the task that waits already
    for _ in range(INBOX_EVENTS + 1):
        instance.post(PeerSaid("c2", EndpointsRequest("c2")))


def test_a_full_inbox_loses_no_news_of_the_log():
    parts = Parts(ManualClock())
    instance = ControlInstance(parts, None)

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
    # the log is also noted at the start
    assert (parts.fed, parts.noted) == (1, 2)


def test_a_stop_waits_for_no_inbox():
    instance = ControlInstance(Parts(ManualClock()), None)
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
            # lets a shielded wait end, so that the test ends too
            instance._receiver.close()
            outer.cancel_scope.cancel()
        assert is_stopped
        instance.post(LogAdvanced())

    anyio.run(main)


def test_a_floor_that_cannot_be_synced_is_tried_again_now_and_then():
    parts = Parts(ManualClock(), pending=3)
    instance = ControlInstance(parts, None)
    tries = []

    def raise_to(position):
        tries.append(position)
        raise OSError

    parts.raise_to = raise_to

    async def run():
        for _ in range(5):
            await instance._view()
        parts.clock.advance(control_instance.FLOOR_RETRY_SECONDS)
        await instance._view()

    anyio.run(run)
    assert tries == [3, 3]

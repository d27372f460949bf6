"""Deadlines of network streams."""

import httpcore
import pytest

from rhubarbhollow_cli.deadline_stream import (
    WRITE_CHUNK_BYTES,
    DeadlineBackend,
    DeadlineStream,
)
from rhubarbhollow_wire.clock import ManualClock


class SlowStream(httpcore.NetworkStream):
    """Take one second per operation and record the timeouts given."""

    def __init__(self, clock):
        self.clock = clock
        self.timeouts = []

    def read(self, max_bytes, timeout=None):
        self.timeouts.append(timeout)
        self.clock.advance(1.0)
        return b"x"

    def write(self, buffer, timeout=None):
        self.read(len(buffer), timeout)


def test_deadline_ends_reads_of_single_bytes():
    """A server that sends single bytes restarts a timeout per read."""
    clock = ManualClock()
    slow = SlowStream(clock)
    stream = DeadlineStream(slow, clock, 2.5)
    assert b"".join(stream.read(1, timeout=60.0) for _ in range(3)) == b"xxx"
    with pytest.raises(httpcore.ReadTimeout):
        stream.read(1, timeout=60.0)
    assert slow.timeouts == [2.5, 1.5, 0.5]


def test_deadline_ends_writes_to_a_slow_reader():
    """A server that reads slowly restarts a timeout per write."""
    clock = ManualClock()
    slow = SlowStream(clock)
    stream = DeadlineStream(slow, clock, 1.5)
    with pytest.raises(httpcore.WriteTimeout):
        stream.write(bytes(3 * WRITE_CHUNK_BYTES), timeout=60.0)
    assert slow.timeouts == [1.5, 0.5]


def test_does_not_connect_after_the_deadline():
    backend = DeadlineBackend(ManualClock(), 0.0)
    with pytest.raises(httpcore.ConnectTimeout):
        backend.connect_tcp("127.0.0.1", 1)

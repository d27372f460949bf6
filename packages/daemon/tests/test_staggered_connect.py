"""Connecting to the first of several control instances."""

import time

import anyio
import pytest

from rhubarbhollow_daemon import staggered_connect
from rhubarbhollow_daemon.staggered_connect import (
    CONNECT_TIMEOUT_SECONDS,
    STAGGER_SECONDS,
    connect_first,
)
from rhubarbhollow_distribution.control_address import ControlAddress

# Most of the time that may pass until a node without a source has
# another one: the platform allows 2 s from a change, and the silence of
# the old source takes 1.3 s of them.
SOURCE_SECONDS = 0.7


class Network:
    """Stand in for hosts that answer, refuse or never answer."""

    def __init__(self, monkeypatch):
        self.attempts = []
        self.closed = []
        monkeypatch.setattr(anyio, "connect_tcp", self.connect)
        monkeypatch.setattr(
            staggered_connect.anyio, "aclose_forcefully", self.close
        )

    async def connect(self, host, port):
        self.attempts.append(host)
        kind, _, delay = host.partition("-")
        await anyio.sleep(float(delay or 0))
        if kind == "gone":
            await anyio.sleep_forever()
        if kind == "refusing":
            raise ConnectionRefusedError
        return host

    async def close(self, stream):
        self.closed.append(stream)


def connect(monkeypatch, *hosts):
    network = Network(monkeypatch)
    failed = []
    addresses = [ControlAddress(host, "", host, 1) for host in hosts]
    began_at = time.monotonic()
    connected = anyio.run(
        connect_first,
        addresses,
        lambda address, cause: failed.append((address.name, cause)),
    )
    seconds = time.monotonic() - began_at
    return network, connected, failed, seconds


@pytest.mark.parametrize("gone", [0, 1, 3, 5])
def test_addresses_that_are_gone_cost_a_short_time_each(monkeypatch, gone):
    """Guard against a node that waits 1 s for each dead address."""
    hosts = [*(f"gone{number}" for number in range(gone)), "live"]
    hosts = [host.replace("gone", "gone-0.00") for host in hosts]
    network, connected, failed, seconds = connect(monkeypatch, *hosts)
    assert connected.address.name == "live"
    assert network.attempts == hosts
    assert failed == []
    assert seconds < gone * STAGGER_SECONDS + 0.2
    assert seconds < SOURCE_SECONDS


def test_the_next_address_follows_a_refusal_at_once(monkeypatch):
    hosts = ("refusing", "refusing", "refusing", "live")
    _, connected, failed, seconds = connect(monkeypatch, *hosts)
    assert connected.address.name == "live"
    assert failed == [("refusing", "ConnectionRefusedError")] * 3
    assert seconds < STAGGER_SECONDS


def test_the_preferred_address_is_the_only_one_tried_if_it_accepts(
    monkeypatch,
):
    """Guard against connections to other data centres without need."""
    network, connected, _, _ = connect(monkeypatch, "live", "live-0.1")
    assert connected.address.name == "live"
    assert network.attempts == ["live"]


def test_no_answer_from_any_address_ends_with_the_timeout(monkeypatch):
    _, connected, failed, seconds = connect(monkeypatch, "gone", "gone-0.0")
    assert connected is None
    assert sorted(failed) == [
        ("gone", "TimeoutError"),
        ("gone-0.0", "TimeoutError"),
    ]
    assert seconds < CONNECT_TIMEOUT_SECONDS + STAGGER_SECONDS + 0.2

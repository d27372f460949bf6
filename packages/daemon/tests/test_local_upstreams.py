"""Effects of announcements on the call path and the mesh."""

from datetime import timedelta

import pytest

from rhubarbhollow_daemon.local_upstreams import LocalUpstreams
from rhubarbhollow_distribution.announcement import Announcement
from rhubarbhollow_distribution.endpoint_record import EndpointState
from rhubarbhollow_distribution.upstream_registry import UpstreamRegistry
from rhubarbhollow_wire.clock import ManualClock


class Sink:
    """Records endpoint reports and changes of the local upstream."""

    def __init__(self):
        self.sent = []
        self.local = []

    def put(self, report):
        self.sent.extend(record.state for record in report.records)

    def set_local_upstream(self, local):
        self.local.append(local)


def announce(upstreams, name="bench", port=1):
    upstreams.announce(
        Announcement(
            name=name,
            service="s",
            host="127.0.0.1",
            port=port,
            slots=9,
            connections=1,
            lease=timedelta(seconds=5),
            load=None,
            is_leaving=False,
        )
    )


def upstreams_of(sink):
    registry = UpstreamRegistry(
        node="n1",
        data_centre="ilala",
        peer_host="127.0.0.1",
        peer_port=1,
        incarnation=1,
        clock=ManualClock(),
    )
    return LocalUpstreams("n1", 1, registry, sink, sink)


def test_an_upstream_that_returns_on_another_port_is_found():
    """Guard against calls to the old port of a restarted upstream.

    Endpoint records do not hold its address, so no record changes.
    """
    sink = Sink()
    upstreams = upstreams_of(sink)
    for port in (1, 1, 2):
        announce(upstreams, port=port)
    assert [local.port for local in sink.local] == [1, 2]
    # Records hold the node's address, which stays the same.
    assert sink.sent == [EndpointState.UP]


@pytest.mark.parametrize("name", ["bench", "other"])
def test_a_draining_node_reports_no_upstream_as_up(name):
    """Guard against a lease renewal that cancels the withdrawal.

    The upstream renews its lease without knowing of the drain.
    """
    sink = Sink()
    upstreams = upstreams_of(sink)
    announce(upstreams)
    upstreams.leave_all()
    announce(upstreams, name)
    up, *rest = sink.sent
    assert up == EndpointState.UP
    assert set(rest) == {EndpointState.LEAVING}
    assert sink.local[-1] is not None

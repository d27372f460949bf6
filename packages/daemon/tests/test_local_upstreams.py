from datetime import timedelta

import pytest

from rhubarbhollow_daemon.local_upstreams import LocalUpstreams
from rhubarbhollow_distribution.announcement import Announcement
from rhubarbhollow_distribution.announcement_book import AnnouncementBook
from rhubarbhollow_distribution.endpoint_record import EndpointState
from rhubarbhollow_wire.clock import ManualClock


class Sink:
    def __init__(self):
        self.sent = []
        self.local = []

    def put(self, report):
        self.sent.extend(record.state for record in report.records)

    def set_local_upstream(self, local):
        self.local.append(local)


def announce(upstreams, name="bench"):
    upstreams.announce(
        Announcement(
            name=name,
            service="s",
            host="127.0.0.1",
            port=1,
            slots=9,
            connections=1,
            lease=timedelta(seconds=5),
            load=None,
            is_leaving=False,
        )
    )


@pytest.mark.parametrize("name", ["bench", "other"])
def test_a_draining_node_lists_no_upstream_again(name):
    sink, clock = Sink(), ManualClock()
    book = AnnouncementBook(
        node="n1",
        data_centre="ilala",
        peer_host="127.0.0.1",
        peer_port=1,
        incarnation=1,
        clock=clock,
    )
    upstreams = LocalUpstreams("n1", book, sink, sink)
    announce(upstreams)
    upstreams.leave_all()
    # the upstream beside goes on renewing its lease
    announce(upstreams, name)
    up, *rest = sink.sent
    assert up == EndpointState.UP
    assert set(rest) == {EndpointState.LEAVING}
    assert sink.local[-1] is not None

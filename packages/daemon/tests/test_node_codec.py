"""Messages of nodes from processes of an older version."""

import pytest

from rhubarbhollow_calls.quarantine_message import CrashReport
from rhubarbhollow_daemon.node_codec import NODE_CODEC
from rhubarbhollow_distribution.endpoint_record import EndpointRecord
from rhubarbhollow_distribution.endpoint_report import EndpointReport
from rhubarbhollow_distribution.welcome import Welcome

RECORD = ("bench", "desk", "n1", "ilala", "::1", 1, 9, 3, -1, 7, 2)
WELCOME = Welcome("c1", "ilala", 1, 7)
CRASH = CrashReport(b"f", "n1/bench", 1, 0.0)
REPORT = EndpointReport((EndpointRecord(*RECORD),))


@pytest.mark.parametrize(
    ("frame", "message"),
    [
        (
            "dc180263311805696c616c611602160e191c180562656e636816f403000000",
            WELCOME,
        ),
        (
            (
                "cc191c180562656e636818046465736b18026e311805696c616c6118033a"
                "3a311502151215061501160e1604180011000000"
            ),
            REPORT,
        ),
        (NODE_CODEC.encode(WELCOME).hex(), WELCOME),
        (NODE_CODEC.encode(REPORT).hex(), REPORT),
        ("0c3818016618086e312f62656e636816021700000000000000000000", CRASH),
    ],
)
def test_messages_of_earlier_versions_are_read(frame, message):
    """Guard against connections that a rolling upgrade closes.

    The first two frames told withdrawals, and the last one does not say
    whether the crash is a repeat.
    """
    assert NODE_CODEC.decode(bytes.fromhex(frame)).unwrap() == message

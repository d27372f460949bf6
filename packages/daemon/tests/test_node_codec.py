"""Messages of nodes from processes of an older version."""

import pytest

from rhubarbhollow_daemon.node_codec import NODE_CODEC
from rhubarbhollow_distribution.endpoint_record import EndpointRecord
from rhubarbhollow_distribution.endpoint_report import EndpointReport
from rhubarbhollow_distribution.welcome import Welcome

RECORD = ("bench", "desk", "n1", "ilala", "::1", 1, 9, 3, -1, 7, 2)
WELCOME = Welcome("c1", "ilala", 1, 7)
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
    ],
)
def test_messages_with_and_without_withdrawals_are_read(frame, message):
    """Guard against connections that a rolling upgrade closes.

    The first two frames are of a version that told withdrawals in them.
    """
    assert NODE_CODEC.decode(bytes.fromhex(frame)).unwrap() == message

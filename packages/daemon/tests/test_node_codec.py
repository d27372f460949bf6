"""Messages of nodes from processes of an older version."""

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from rhubarbhollow_daemon.node_codec import NODE_CODEC
from rhubarbhollow_distribution.endpoint_record import EndpointRecord
from rhubarbhollow_distribution.endpoint_report import EndpointReport
from rhubarbhollow_distribution.welcome import Welcome
from rhubarbhollow_wire.gen_py.rhubarbhollow import ttypes

RECORD = ("bench", "desk", "n1", "ilala", "::1", 1, 9, 3, -1, 7, 2)


def decode(frame):
    buffer = TMemoryBuffer()
    factory = TCompactProtocolAcceleratedFactory()
    frame.write(factory.getProtocol(buffer))
    return NODE_CODEC.decode(buffer.getvalue()).unwrap()


def test_messages_without_withdrawals_are_read():
    """Guard against connections that a rolling upgrade closes."""
    welcome = ttypes.Welcome("c1", "ilala", 1, 7, withdrawals=None)
    assert decode(ttypes.Frame(welcome=welcome)) == Welcome(
        "c1", "ilala", 1, 7
    )
    record = ttypes.EndpointRecord(*RECORD, is_withdrawn=None)
    report = ttypes.EndpointReport([record])
    expected = EndpointReport((EndpointRecord(*RECORD),))
    assert decode(ttypes.Frame(endpoint_report=report)) == expected

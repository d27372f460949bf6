"""Guards the wire of rollouts: sizes, older senders, mere silence."""

from __future__ import annotations

from dataclasses import replace

from result import Ok
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from rhubarbhollow_daemon.codec import CODEC
from rhubarbhollow_daemon.node_codec import NODE_CODEC
from rhubarbhollow_distribution.endpoint_record import EndpointRecord
from rhubarbhollow_distribution.endpoint_report import EndpointReport
from rhubarbhollow_rollout.messages import (
    RolloutEvidence,
    RolloutExposure,
    RolloutReport,
    RolloutSummary,
    RolloutView,
)
from rhubarbhollow_wire.gen_py.rhubarbhollow import ttypes

RECORD = EndpointRecord("u", "desk", "n", "dc", "::1", 1, 9, 1, -1, 1, 1, "v2")
VIEW = RolloutView("frame", 3, 9, "v2", "v1", 1, 90, 4)
EVIDENCE = RolloutEvidence(3, "catalogue-browse", 9, 1, 0, 2, 3, 1, 0, 1)


def test_messages_are_read_as_they_were_sent() -> None:
    for message in (
        EndpointReport((RECORD,)),
        RolloutReport(7, (EVIDENCE,)),
        RolloutExposure(7, 120, (VIEW,)),
    ):
        data = NODE_CODEC.encode(message)
        assert NODE_CODEC.decode(data) == Ok(message)
    summary = RolloutSummary("c1", 1_765_000_000_000, (EVIDENCE,))
    assert CODEC.decode(CODEC.encode(summary)) == Ok(summary)


def test_a_record_of_an_earlier_version_stays_valid() -> None:
    """Its sender knows no field for the upstream's version."""
    fields = {
        "service_" if name == "service" else name: getattr(RECORD, name)
        for name in RECORD.__slots__
        if name != "version"
    }
    old = ttypes.EndpointRecord(**fields)
    old.version = None
    frame = ttypes.Frame(endpoint_report=ttypes.EndpointReport([old]))
    buffer = TMemoryBuffer()
    frame.write(TCompactProtocolAcceleratedFactory().getProtocol(buffer))
    plain = EndpointReport((replace(RECORD, version=""),))
    assert NODE_CODEC.decode(buffer.getvalue()) == Ok(plain)
    assert len(NODE_CODEC.encode(plain)) <= len(buffer.getvalue()) + 2


def test_the_messages_of_a_running_rollout_are_small() -> None:
    """Each node and its source exchange them twice a second."""
    assert len(NODE_CODEC.encode(RolloutExposure(400, 120, ()))) <= 16
    evidence = (EVIDENCE,) * 3
    assert len(NODE_CODEC.encode(RolloutReport(400, evidence))) <= 140

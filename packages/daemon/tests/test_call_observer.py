"""What a node logs and remembers of the calls that it refused."""

from structlog.testing import capture_logs

from rhubarbhollow_calls.not_run_proof import NeverWritten, UnwrittenStage
from rhubarbhollow_calls.refusal import Refusal, RefusalKind
from rhubarbhollow_daemon.burn_ledger import BurnLedger
from rhubarbhollow_daemon.call_log import CallLog
from rhubarbhollow_daemon.call_observer import NodeCallObserver
from rhubarbhollow_daemon.decision_log import DecisionLog
from rhubarbhollow_wire.clock import ManualClock


def test_a_call_without_a_route_leaves_a_line_and_is_remembered():
    clock = ManualClock()
    log = CallLog()
    observer = NodeCallObserver(
        BurnLedger(clock), log, clock, DecisionLog(clock)
    )
    refusal = Refusal.not_run(
        RefusalKind.DRAINING,
        NeverWritten(UnwrittenStage.ROUTING),
        "this node is stopping",
    )
    with capture_logs() as lines:
        observer.call_not_begun(b"3e6d969a", refusal, 41)
    (line,) = lines
    assert line["event"] == "call_not_begun"
    assert line["request_id"] == "3e6d969a"
    assert line["refusal"] == "draining"
    assert line["executed"] == "no"
    assert line["detail"] == "this node is stopping"
    assert line["position"] == 41
    (remembered,) = log.find(b"3e6d969a")
    assert remembered.kind == "draining"

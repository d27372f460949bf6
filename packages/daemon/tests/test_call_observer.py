"""The log line and the log entry of a refused call."""

from structlog.testing import capture_logs

from rhubarbhollow_calls.not_run_proof import NeverWritten, UnwrittenStage
from rhubarbhollow_calls.refusal import Refusal, RefusalKind
from rhubarbhollow_daemon.burn_recorder import BurnRecorder
from rhubarbhollow_daemon.call_observer import NodeCallObserver
from rhubarbhollow_daemon.decision_log import DecisionLog
from rhubarbhollow_daemon.refused_call_log import RefusedCallLog
from rhubarbhollow_wire.clock import ManualClock


def test_a_call_refused_before_routing_is_logged_and_kept():
    """Guard against refusals that leave no trace.

    A call refused before routing reaches no route and no upstream, so
    that nothing else records it.
    """
    clock = ManualClock()
    log = RefusedCallLog()
    observer = NodeCallObserver(
        BurnRecorder(clock), log, clock, DecisionLog(clock)
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
    (kept,) = log.find(b"3e6d969a")
    assert kept.kind == "draining"

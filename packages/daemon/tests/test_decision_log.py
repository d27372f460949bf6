"""Bounds of the log: its rate, a full pipe and a closed pipe."""

import os

from structlog.testing import capture_logs

from rhubarbhollow_daemon.decision_log import DecisionLog
from rhubarbhollow_daemon.log_output import NonBlockingOutput
from rhubarbhollow_wire.clock import ManualClock


def test_lines_are_rate_limited_and_omitted_lines_are_counted():
    """Guard against logging without bound while calls are refused."""
    clock = ManualClock()
    log = DecisionLog(clock, lines_per_second=2.0, burst_lines=3.0)
    with capture_logs() as lines:
        for number in range(10):
            log.write("call_refused", request_id=str(number))
        clock.advance(1.0)
        log.write("call_refused", request_id="late")
    assert [line["request_id"] for line in lines] == ["0", "1", "2", "late"]
    assert lines[-1]["lines_left_out"] == 7
    assert log.lines_omitted == 7


def test_a_full_pipe_does_not_block():
    """Guard against a slow log reader that blocks the process.

    Lines that do not fit are dropped whole, and their number is
    written once there is room again.
    """
    reader, writer = os.pipe()
    try:
        output = NonBlockingOutput(writer)
        for number in range(2_000):
            output.write(f"event=line number={number} {'x' * 100}\n")
        dropped = output.dropped
        assert dropped > 0
        seen = os.read(reader, 1 << 20)
        output.write("event=after\n")
        seen += os.read(reader, 1 << 20)
    finally:
        os.close(reader)
        os.close(writer)
    lines = seen.decode().splitlines()
    assert lines[0].startswith("event=line number=0 ")
    assert lines[-1] == "event=after"
    assert lines[-2] == f"event=log_lines_dropped count={dropped}"
    assert all(line.startswith("event=") for line in lines)


def test_a_closed_pipe_raises_no_error():
    """Guard against a process that ends because its log reader did."""
    reader, writer = os.pipe()
    os.close(reader)
    try:
        output = NonBlockingOutput(writer)
        output.write("event=line\n")
        assert output.dropped == 1
    finally:
        os.close(writer)

from rhubarbhollow_calls.io_crash_watch import BrokenCall
from rhubarbhollow_calls.io_local_port import LocalPort
from rhubarbhollow_calls.io_local_upstream import LocalUpstream
from rhubarbhollow_calls.io_settings import CallSettings
from rhubarbhollow_calls.quarantine import Quarantine
from rhubarbhollow_calls.quarantine_verdict import MayRun, Quarantined
from rhubarbhollow_wire.clock import ManualClock


def test_two_crashes_of_one_upstream_are_two():
    clock, reports = ManualClock(), []
    quarantine = Quarantine(clock)
    upstream = LocalUpstream("n/u", "s", "127.0.0.1", 1, 9, 110, 1000)
    port = LocalPort(
        upstream, CallSettings(), clock, quarantine, reports.append
    )
    for _ in range(2):
        verdict = quarantine.try_start(b"killer")
        assert isinstance(verdict, MayRun)
        broken = [BrokenCall(b"killer", verdict.epoch)]
        port._judge_broken(broken, is_crashed=True)
        # the same crash once more, from a call that broke later
        port._judge_broken(broken, is_crashed=True)
    assert [report.incarnation for report in reports] == [1000, 1001]
    assert isinstance(quarantine.try_start(b"killer"), Quarantined)

"""Tests of slot admission and crash reports at the local port."""

from rhubarbhollow_admission.nested_routes import MIN_RUN
from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.io_crash_watch import BrokenCall
from rhubarbhollow_calls.io_local_port import LocalPort
from rhubarbhollow_calls.io_local_upstream import LocalUpstream
from rhubarbhollow_calls.io_settings import CallSettings
from rhubarbhollow_calls.quarantine import Quarantine
from rhubarbhollow_calls.quarantine_verdict import MayRun, Quarantined
from rhubarbhollow_calls.slot_admission import SlotRefusal
from rhubarbhollow_calls.slot_ticket import Ticket
from rhubarbhollow_wire.clock import ManualClock

SLOTS = 9
COLD_HISTORY_SECONDS = 1.3


class Waiter:
    """Record the outcome of a request for a slot."""

    def __init__(self) -> None:
        self.outcome: str = "waits"

    def slot_granted(self) -> None:
        self.outcome = "granted"

    def slot_refused(self, reason: SlotRefusal) -> None:
        self.outcome = reason.value

    def slot_expired(self) -> None:
        self.outcome = "expired"


def ask(
    port: LocalPort, clock: ManualClock, call_id: int, kind: str
) -> Waiter:
    """Request a slot for a bulk history or a short lookup."""
    now = clock.monotonic()
    ticket = {
        "history": Ticket(
            CallPriority.BULK, now + 5, call_id, 2, 2000, 0, now + 2
        ),
        "lookup": Ticket(
            CallPriority.INTERACTIVE, now + 0.5, call_id, 1, 150, 0, now + 0.15
        ),
    }[kind]
    waiter = Waiter()
    port.request_slot(waiter, port.estimate(ticket, kind.encode()))
    return waiter


def busy_port(clock: ManualClock) -> LocalPort:
    """Return the port of a cold upstream without a free slot."""
    upstream = LocalUpstream("n/u", "s", "127.0.0.1", 1, SLOTS, 110, 1000)
    port = LocalPort(upstream, CallSettings(), clock, None, print)
    port.service_times.record(b"history", COLD_HISTORY_SECONDS)
    port.service_times.record(b"lookup", 0.12)
    for call_id in range(SLOTS):
        assert ask(port, clock, call_id, "history").outcome == "granted"
    return port


def test_a_short_urgent_call_waits_for_the_next_slot() -> None:
    """Guard against refusing a call that can meet its deadline.

    An interactive call may miss its objective: its parent call has
    already run, and the refusal would waste that work.
    """
    clock = ManualClock()
    port = busy_port(clock)
    lookup = ask(port, clock, 100, "lookup")
    clock.advance(0.2)
    port.release_slot()
    assert lookup.outcome == "granted"


def test_a_call_that_cannot_end_before_its_deadline_is_refused() -> None:
    """Guard against granting a slot to a call that will time out.

    The slot goes to the next call that can still meet its deadline.
    """
    clock = ManualClock()
    port = busy_port(clock)
    lookup = ask(port, clock, 100, "lookup")
    history = ask(port, clock, 101, "history")
    clock.advance(0.45)
    port.release_slot()
    assert lookup.outcome == SlotRefusal.CANNOT_END.value
    assert history.outcome == "granted"


def test_two_crashes_of_one_upstream_are_counted_separately():
    """Guard against a crash that is merged with an earlier one.

    Both crashes happen to the same upstream under one announced
    incarnation.
    """
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
        port._handle_crash_check(broken, is_crashed=True)
        # Report the same crash again, from a call that broke later.
        port._handle_crash_check(broken, is_crashed=True)
    assert [report.incarnation for report in reports] == [1000, 1001]
    assert isinstance(quarantine.try_start(b"killer"), Quarantined)


def test_a_call_of_an_upstream_is_told_from_one_of_a_client():
    """Guard against a nested call that is rejected for its objective.

    The native dialect passes the depth on. In another one the route is
    learned from the services that its calls come from.
    """
    clock = ManualClock()
    upstream = LocalUpstream("n/u", "s", "127.0.0.1", 1, SLOTS, 110, 1000)
    settings = CallSettings(origin=b"ingest")
    port = LocalPort(upstream, settings, clock, None, print)
    assert port.is_nested(b"native", b"", 1)
    assert not port.is_nested(b"native", b"", 0)
    for number in range(2 * MIN_RUN):
        client_origin = (b"frame", b"ingest")[number % 2]
        assert not port.is_nested(b"read", client_origin, 0)
        is_nested = port.is_nested(b"lookup", b"frame", 0)
        assert is_nested == (number >= MIN_RUN - 1)

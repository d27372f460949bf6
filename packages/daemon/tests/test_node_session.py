"""Messages that a node sends on a new connection."""

from types import SimpleNamespace

import anyio
from fake_stream import join_connections

from rhubarbhollow_calls.quarantine_message import CrashReport
from rhubarbhollow_daemon.node_session import NodeSession
from rhubarbhollow_daemon.outbox import Outbox
from rhubarbhollow_distribution.endpoint_report import EndpointReport
from rhubarbhollow_wire.traffic import Traffic

CRASH = CrashReport(b"f", "n1/bench", 1, 100.0)


def test_a_new_source_receives_endpoint_records_and_crash_evidence():
    """Guard against crash evidence lost with the previous source.

    Messages still queued for the previous source are dropped.
    """
    outbox = Outbox()
    state = SimpleNamespace(
        endpoint_records=(),
        crash_evidence=(CRASH,),
        set_connected=lambda is_connected: None,
    )
    chooser = SimpleNamespace(
        current=None, maybe_alternative=lambda: None, is_silent=False
    )
    session = NodeSession(state, chooser, outbox, Traffic(), 60.0)

    async def run():
        first = []
        here, there = join_connections()
        outbox.put("queued for the previous source")
        async with anyio.create_task_group() as group:
            group.start_soon(session._serve_until_lost, here)
            with anyio.move_on_after(5):
                first.extend([await there.receive() for _ in range(2)])
            assert session.is_connected
            group.cancel_scope.cancel()
        return [received.unwrap() for received in first]

    assert anyio.run(run) == [EndpointReport(()), CRASH]
    assert not session.is_connected

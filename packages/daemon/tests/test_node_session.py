from types import SimpleNamespace

import anyio
from fake_stream import join_connections

from rhubarbhollow_calls.quarantine_message import CrashReport
from rhubarbhollow_daemon.node_session import NodeSession
from rhubarbhollow_daemon.outbox import Outbox
from rhubarbhollow_distribution.endpoint_report import EndpointReport
from rhubarbhollow_wire.traffic import Traffic

CRASH = CrashReport(b"f", "n1/bench", 1, 100.0)


def test_a_new_source_learns_what_the_last_one_may_have_lost():
    outbox = Outbox()
    state = SimpleNamespace(endpoint_records=(), crash_evidence=(CRASH,))
    chooser = SimpleNamespace(
        current=None, maybe_alternative=lambda: None, is_silent=False
    )
    session = NodeSession(state, chooser, outbox, Traffic(), 60.0)

    async def run():
        first = []
        here, there = join_connections()
        outbox.put("meant for the last source")
        async with anyio.create_task_group() as group:
            group.start_soon(session._serve_until_lost, here)
            with anyio.move_on_after(5):
                first.extend([await there.receive() for _ in range(2)])
            assert session.is_connected
            group.cancel_scope.cancel()
        return [received.unwrap() for received in first]

    assert anyio.run(run) == [EndpointReport(()), CRASH]
    assert not session.is_connected

"""Tests of crash detection after a broken connection."""

import asyncio

import pytest

from rhubarbhollow_calls.io_crash_watch import BrokenCall, CrashWatch
from rhubarbhollow_calls.io_local_upstream import LocalUpstream

CALL = BrokenCall(b"fingerprint", 0)


async def check_upstream(accept, *, is_listening=True):
    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    if not is_listening:
        server.close()
        await server.wait_closed()
    verdict = asyncio.get_running_loop().create_future()

    def callback(calls, is_crashed):
        verdict.set_result((calls, is_crashed))

    upstream = LocalUpstream("n/u", "s", "127.0.0.1", port, 9, 110)
    watch = CrashWatch(upstream, 5.0)
    watch.note_broken(CALL, callback)
    try:
        return await verdict
    finally:
        server.close()


async def keep_open(reader, writer):
    await reader.read()
    writer.close()


async def close_at_once(reader, writer):
    writer.close()


@pytest.mark.parametrize(
    ("accept", "is_listening", "is_crashed"),
    [
        (keep_open, True, False),
        (keep_open, False, True),
        # An ending process closes its sockets one after the other, so
        # it may still accept a connection and then close it.
        (close_at_once, True, True),
    ],
)
def test_a_crash_is_distinguished_from_a_broken_connection(
    accept, is_listening, is_crashed
):
    """Guard against taking every broken connection for a crash.

    Only an upstream that no longer listens has crashed.
    """
    outcome = asyncio.run(check_upstream(accept, is_listening=is_listening))
    assert outcome == ([CALL], is_crashed)

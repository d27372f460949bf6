"""Tests of connections whose peer vanishes without closing them."""

import asyncio
import socket

import pytest
from tests.standin.mesh import run
from tests.standin.scripted_upstream import ScriptedUpstream, echo

from rhubarbhollow_calls.call_result import CallResult
from rhubarbhollow_calls.io_client import ClientConnection
from rhubarbhollow_calls.io_pool import ConnectionPool
from rhubarbhollow_calls.io_settings import CallSettings
from rhubarbhollow_wire.clock import SystemClock


class User:
    def __init__(self):
        self.causes = []

    def connection_broken(self, cause):
        self.causes.append(cause.value)


def pool_to(port):
    settings = CallSettings(unacknowledged_ms=700)
    return ConnectionPool("127.0.0.1", port, 4, 4, settings, SystemClock())


def test_a_connection_enables_detection_of_a_lost_peer():
    async def main():
        upstream = ScriptedUpstream(echo)
        await upstream.start()
        pool = pool_to(upstream.port)
        ready = asyncio.get_running_loop().create_future()

        class Waiter:
            def connection_ready(self, connection):
                ready.set_result(connection)

        pool.acquire(Waiter())
        connection = await ready
        raw = connection._transport.get_extra_info("socket")
        assert raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        assert (
            raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 700
        )
        pool.close()
        connection.abort()

    run(main())


@pytest.mark.parametrize(
    ("error", "cause"),
    [
        (TimeoutError(), "lost"),
        (ConnectionResetError(), "closed"),
        (None, "closed"),
    ],
)
def test_a_lost_peer_is_distinguished_from_a_closed_connection(error, cause):
    connection = ClientConnection(pool_to(1))
    user = User()
    connection.begin(user, is_for_head=False, data=b"")
    connection.connection_lost(error)
    assert user.causes == [cause]


def test_a_lost_peer_counts_as_unreachable_but_may_have_run():
    """Guard against calls that each wait until a lost peer times out.

    The request has been written, so it may have run.
    """
    from rhubarbhollow_calls.io_attempt import Attempt
    from rhubarbhollow_calls.io_client import BreakCause

    failures = []

    class Owner:
        def attempt_failed(self, failure):
            failures.append(failure)

    class Bare(Attempt):
        def _release_resources(self, result):
            pass

    Bare(Owner(), None, None).connection_broken(BreakCause.LOST)
    assert failures[0].result is CallResult.UNREACHABLE
    assert failures[0].refusal.proof is None

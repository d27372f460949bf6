"""Replies that break off."""

import contextlib
import socket
import struct
import threading

import pytest
from result import Err

from rhubarbhollow_cli.exchange import ExchangeFaultKind, Request, exchange
from rhubarbhollow_cli.server_address import ServerAddress
from rhubarbhollow_wire.clock import ManualClock

REPLY = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: 22\r\nConnection: close\r\n\r\n"
    b'{"outcome":"accepted"}'
)
NO_LINGER = struct.pack("ii", 1, 0)


def serve_cut(listener, is_reset):
    """Answer the n-th connection with n bytes of the reply."""
    for n in range(len(REPLY)):
        connection, _ = listener.accept()
        with connection:
            with connection.makefile("rb") as lines:
                while lines.readline() not in (b"\r\n", b""):
                    pass
            # The client may have closed already.
            with contextlib.suppress(ConnectionError):
                connection.sendall(REPLY[:n])
            if is_reset:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
                )


@pytest.mark.parametrize("is_reset", [False, True])
def test_a_reply_cut_at_any_byte_is_lost(is_reset):
    """Guard against a reply that ends early and looks complete.

    It is no proof that the request was not executed either.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        server = ServerAddress("127.0.0.1", listener.getsockname()[1])
        thread = threading.Thread(target=serve_cut, args=(listener, is_reset))
        thread.start()
        request = Request("GET", "/v1/status")
        for n in range(len(REPLY)):
            result = exchange(server, request, ManualClock(), 30.0)
            assert isinstance(result, Err), n
            assert result.err_value.kind is ExchangeFaultKind.LOST
        thread.join()

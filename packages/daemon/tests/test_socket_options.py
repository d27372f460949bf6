"""Detection of lost peers by socket options."""

import socket

import anyio
from anyio.abc import SocketAttribute
from fake_stream import join_streams

from rhubarbhollow_daemon.socket_options import (
    KEEPALIVE_LIMITS,
    detect_lost_peer,
)


def test_loss_detection_is_enabled_on_a_socket():
    """Guard against connections that stay open to a lost peer."""

    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        async with listener, await anyio.connect_tcp("127.0.0.1", port) as end:
            detect_lost_peer(end)
            raw = end.extra(SocketAttribute.raw_socket)
            return (
                raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
                raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
            )

    assert anyio.run(run) == (1, KEEPALIVE_LIMITS.unacknowledged_ms)


def test_a_stream_without_a_socket_is_left_alone():
    """Guard against errors for streams that have no socket."""
    for stream in join_streams():
        detect_lost_peer(stream)

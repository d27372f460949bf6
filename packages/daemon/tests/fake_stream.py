"""Byte streams in memory, in place of sockets."""

import anyio
from anyio.streams.stapled import StapledObjectStream

from rhubarbhollow_daemon.codec import CODEC
from rhubarbhollow_wire.connection import FrameConnection
from rhubarbhollow_wire.traffic import Traffic

BUFFER_CHUNKS = 100_000


class ByteStream(StapledObjectStream):
    """Carry bytes in memory; counts as a socket without options."""

    async def receive(self, max_bytes=65_536):
        return await super().receive()


def join_streams():
    there, here = (
        anyio.create_memory_object_stream(BUFFER_CHUNKS) for _ in range(2)
    )
    return ByteStream(there[0], here[1]), ByteStream(here[0], there[1])


def join_connections():
    """Return both ends of a connection."""
    return tuple(
        FrameConnection(stream, CODEC, Traffic()) for stream in join_streams()
    )

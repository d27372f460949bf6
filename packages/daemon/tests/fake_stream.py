"""In-memory byte streams that replace sockets in tests."""

import anyio
from anyio.streams.stapled import StapledObjectStream

from rhubarbhollow_daemon.codec import CODEC
from rhubarbhollow_wire.connection import FrameConnection
from rhubarbhollow_wire.traffic import Traffic

BUFFER_CHUNKS = 100_000


class ByteStream(StapledObjectStream):
    """An in-memory stream; acts as a socket without options."""

    async def receive(self, max_bytes=65_536):
        return await super().receive()


def join_streams():
    """Return both ends of an in-memory byte stream."""
    first, second = (
        anyio.create_memory_object_stream(BUFFER_CHUNKS) for _ in range(2)
    )
    return ByteStream(first[0], second[1]), ByteStream(second[0], first[1])


def join_connections():
    """Return both ends of an in-memory connection."""
    return tuple(
        FrameConnection(stream, CODEC, Traffic()) for stream in join_streams()
    )

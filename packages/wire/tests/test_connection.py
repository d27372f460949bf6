import struct
from dataclasses import dataclass

import anyio
import pytest
from anyio.streams.stapled import StapledObjectStream
from result import Err, Ok

from rhubarbhollow_wire.codec import MAX_INTEGER, MessageCodec
from rhubarbhollow_wire.connection import PREFACE, FrameConnection
from rhubarbhollow_wire.faults import (
    ConnectionEnded,
    FrameTooLarge,
    UndecodableFrame,
    UnencodableMessage,
    WrongPreface,
)
from rhubarbhollow_wire.traffic import Traffic


@dataclass(frozen=True, slots=True)
class ActiveReport:
    position: int


CODEC = MessageCodec([ActiveReport])


class MemoryByteStream(StapledObjectStream):
    """Pass chunks of bytes unchanged, whatever ``max_bytes`` is."""

    async def receive(self, max_bytes=None):
        return await super().receive()


def connection_pair():
    left_send, right_receive = anyio.create_memory_object_stream[bytes](20)
    right_send, left_receive = anyio.create_memory_object_stream[bytes](20)
    return (
        MemoryByteStream(left_send, left_receive),
        MemoryByteStream(right_send, right_receive),
    )


def test_carries_messages_and_counts_bytes():
    async def scenario():
        left, right = connection_pair()
        sent, received = Traffic("ilala"), Traffic("temeke")
        sender = FrameConnection(left, CODEC, sent, peer_data_centre="temeke")
        receiver = FrameConnection(right, CODEC, received)
        async with anyio.create_task_group() as group:
            group.start_soon(sender.open)
            assert await receiver.open() == Ok(None)
        await sender.send(ActiveReport(1), ActiveReport(2))
        assert await receiver.receive() == Ok(ActiveReport(1))
        assert await receiver.receive() == Ok(ActiveReport(2))
        assert sent.bytes_out == received.bytes_in
        assert (sent.messages_out, received.messages_in) == (2, 2)
        frames = sent.bytes_out - len(PREFACE)
        assert sent.frame_bytes_out == {("ActiveReport", True): frames}
        sender.set_peer_data_centre("ilala")
        await sender.send(ActiveReport(3))
        assert sent.frame_bytes_out[("ActiveReport", False)] == frames / 2

    anyio.run(scenario)


@pytest.mark.parametrize(
    ("odd", "fault"),
    [
        # The receiver would refuse this one and close the connection.
        (MAX_INTEGER + 1, UnencodableMessage("ActiveReport", "OverflowError")),
        (1 << 63, UnencodableMessage("ActiveReport", "OverflowError")),
        (-(10**400), UnencodableMessage("ActiveReport", "OverflowError")),
        ("x", UnencodableMessage("ActiveReport", "TypeError")),
    ],
)
def test_a_message_that_cannot_be_encoded_costs_only_itself(odd, fault):
    """The messages beside it must arrive, and the connection stay."""

    async def scenario():
        left, right = connection_pair()
        sender = FrameConnection(left, CODEC, Traffic())
        receiver = FrameConnection(right, CODEC, Traffic())
        batch = (ActiveReport(1), ActiveReport(odd), ActiveReport(2))
        assert await sender.send(*batch) == Err(fault)
        assert await sender.send(ActiveReport(3)) == Ok(None)
        for position in (1, 2, 3):
            received = await receiver.receive()
            assert received == Ok(ActiveReport(position))

    anyio.run(scenario)


def test_a_message_above_the_limit_costs_only_itself():
    """It must not end a connection that the next attempt ends again."""

    async def scenario():
        left, right = connection_pair()
        size = len(CODEC.encode(ActiveReport(1)))
        sender = FrameConnection(left, CODEC, Traffic(), max_frame_bytes=size)
        receiver = FrameConnection(right, CODEC, Traffic())
        large = ActiveReport(1 << 60)
        sent = await sender.send(large, ActiveReport(2))
        fault = FrameTooLarge(len(CODEC.encode(large)), size)
        assert sent == Err(fault)
        assert await receiver.receive() == Ok(ActiveReport(2))

    anyio.run(scenario)


@pytest.mark.parametrize(
    ("chunks", "fault"),
    [
        ([b"GET "], WrongPreface(b"GET ")),
        ([PREFACE, struct.pack(">I", 2**31)], FrameTooLarge(2**31, 1000)),
        (
            [PREFACE, struct.pack(">I", 3), b"\xff\xff\xff"],
            UndecodableFrame("TypeError"),
        ),
        ([PREFACE, b"\x00"], ConnectionEnded(is_clean=False)),
        ([PREFACE], ConnectionEnded(is_clean=True)),
    ],
)
def test_rejects_invalid_streams(chunks, fault):
    async def scenario():
        left, right = connection_pair()
        for chunk in chunks:
            await right.send(chunk)
        await right.send_stream.aclose()
        connection = FrameConnection(
            left, CODEC, Traffic(), max_frame_bytes=1000
        )
        opened = await connection.open()
        if isinstance(opened, Err):
            return opened
        return await connection.receive()

    assert anyio.run(scenario) == Err(fault)

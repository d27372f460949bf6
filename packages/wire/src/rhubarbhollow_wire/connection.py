"""Connections that carry length-prefixed frames of one message each."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Final

import anyio
from result import Err, Ok, Result

from rhubarbhollow_wire.codec import MAX_FRAME_BYTES, MessageCodec
from rhubarbhollow_wire.faults import (
    ConnectionEnded,
    FrameTooLarge,
    WireFault,
    WrongPreface,
)

if TYPE_CHECKING:
    from anyio.abc import ByteStream

    from rhubarbhollow_wire.traffic import Traffic

# The last byte is the protocol version.
PREFACE: Final = b"RBH\x01"
_LENGTH: Final = struct.Struct(">I")
_RECEIVE_BYTES: Final = 65_536
_STREAM_ERRORS: Final = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


class FrameConnection:
    """Send and receive messages over a byte stream.

    The connection does not lock: at most one task may send and at most
    one may receive at a time.
    """

    def __init__(
        self,
        stream: ByteStream,
        codec: MessageCodec,
        traffic: Traffic,
        *,
        peer_data_centre: str = "",
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        self._stream = stream
        self._codec = codec
        self._traffic = traffic
        self._peer_data_centre = peer_data_centre
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()

    def count_in(self, traffic: Traffic) -> None:
        """Count subsequent bytes and messages in ``traffic``."""
        self._traffic = traffic

    def set_peer_data_centre(self, data_centre: str) -> None:
        """Count subsequent messages as sent to this data centre."""
        self._peer_data_centre = data_centre

    async def open(self) -> Result[None, WireFault]:
        """Exchange prefaces, to reject other protocols early."""
        sent = await self._send_bytes(PREFACE)
        if isinstance(sent, Err):
            return sent
        received = await self._receive_exactly(len(PREFACE))
        if isinstance(received, Err):
            return received
        if received.ok_value != PREFACE:
            return Err(WrongPreface(received.ok_value))
        return Ok(None)

    async def send(self, *messages: object) -> Result[None, WireFault]:
        """Encode messages and send their frames in a single write.

        A message that cannot be encoded, or that the other side would
        refuse for its size, is left out and returned as the fault; the
        others are sent, and the connection remains usable.
        """
        parts = bytearray()
        fault: Result[None, WireFault] = Ok(None)
        for message in messages:
            encoded = self._codec.try_encode(message)
            if isinstance(encoded, Err):
                fault = encoded
                continue
            body = encoded.ok_value
            if len(body) > self._max_frame_bytes:
                fault = Err(FrameTooLarge(len(body), self._max_frame_bytes))
                continue
            parts += _LENGTH.pack(len(body))
            parts += body
            self._traffic.count_frame(
                message, _LENGTH.size + len(body), self._peer_data_centre
            )
        sent = await self._send_bytes(bytes(parts))
        return fault if sent.is_ok() else sent

    async def receive(self) -> Result[object, WireFault]:
        """Return the next message.

        After an error the caller must close the connection.
        """
        prefix = await self._receive_exactly(_LENGTH.size)
        if isinstance(prefix, Err):
            return prefix
        (length,) = _LENGTH.unpack(prefix.ok_value)
        if length > self._max_frame_bytes:
            return Err(FrameTooLarge(length, self._max_frame_bytes))
        body = await self._receive_exactly(length)
        if isinstance(body, Err):
            return body
        self._traffic.messages_in += 1
        return self._codec.decode(body.ok_value)

    async def close(self) -> None:
        """Close the stream immediately, not waiting for the peer."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)

    async def _send_bytes(self, data: bytes) -> Result[None, WireFault]:
        try:
            await self._stream.send(data)
        except _STREAM_ERRORS:
            return Err(ConnectionEnded(is_clean=False))
        self._traffic.bytes_out += len(data)
        return Ok(None)

    async def _receive_exactly(self, count: int) -> Result[bytes, WireFault]:
        while len(self._buffer) < count:
            try:
                chunk = await self._stream.receive(_RECEIVE_BYTES)
            except anyio.EndOfStream:
                return Err(ConnectionEnded(is_clean=not self._buffer))
            except _STREAM_ERRORS:
                return Err(ConnectionEnded(is_clean=False))
            self._traffic.bytes_in += len(chunk)
            self._buffer += chunk
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        return Ok(data)

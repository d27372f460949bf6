"""Failures of connections, framing and decoding."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FrameTooLarge:
    """A length prefix announces a frame above the size limit."""

    announced_bytes: int
    limit_bytes: int


@dataclass(frozen=True, slots=True)
class WrongPreface:
    """The peer uses another protocol or another protocol version."""

    received: bytes


@dataclass(frozen=True, slots=True)
class UndecodableFrame:
    """The bytes of a frame do not decode as a Thrift frame.

    ``cause`` is the name of the exception that decoding raised.
    """

    cause: str


@dataclass(frozen=True, slots=True)
class UnencodableMessage:
    """A message to be sent has a value that the schema cannot hold.

    ``cause`` is the name of the exception that encoding raised.
    """

    message: str
    cause: str


@dataclass(frozen=True, slots=True)
class UnexpectedFrame:
    """A frame contains no message, several, or an unknown type."""

    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MissingField:
    """A message lacks a required field."""

    message: str
    field: str


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """The peer or the network ended the connection.

    ``is_clean`` is true if the stream ended between two frames.
    """

    is_clean: bool


WireFault = (
    FrameTooLarge
    | WrongPreface
    | UndecodableFrame
    | UnencodableMessage
    | UnexpectedFrame
    | MissingField
    | ConnectionEnded
)

"""Failures of framing and decoding."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FrameTooLarge:
    """A length prefix announces more bytes than a frame may have."""

    announced_bytes: int
    limit_bytes: int


@dataclass(frozen=True, slots=True)
class WrongPreface:
    """The peer speaks another protocol or another version of ours."""

    received: bytes


@dataclass(frozen=True, slots=True)
class UndecodableFrame:
    """The bytes of a frame are no Thrift message of the schema."""

    cause: str


@dataclass(frozen=True, slots=True)
class UnexpectedFrame:
    """A frame holds no message, several, or one of an unknown kind."""

    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MissingField:
    """A message lacks a field that its type requires."""

    message: str
    field: str


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """The peer or the network ended the connection."""

    is_clean: bool


WireFault = (
    FrameTooLarge
    | WrongPreface
    | UndecodableFrame
    | UnexpectedFrame
    | MissingField
    | ConnectionEnded
)

"""Commands to the ledger and their encoding in the replicated log."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Final, TypeAlias

from result import Err, Ok, Result

from rhubarbhollow_release.approval_codec import (
    decode_approval,
    encode_approval,
)
from rhubarbhollow_release.canonical import DIGEST_BYTES
from rhubarbhollow_release.difference_codec import MAX_ENCODED_BYTES

if TYPE_CHECKING:
    from rhubarbhollow_release.approval import Approval

_SUBMIT_TAG: Final = b"S"
_ACTIVATE_TAG: Final = b"A"
_LENGTH: Final = struct.Struct(">H")
_POSITION: Final = struct.Struct(">Q")


@dataclass(frozen=True, slots=True)
class SubmitRelease:
    """Submit a release as a difference from the latest one.

    ``base_digest`` is the digest of the release that ``difference``,
    an encoded difference, starts from.
    """

    base_digest: bytes
    difference: bytes = field(repr=False)
    approval: Approval


@dataclass(frozen=True, slots=True)
class ActivateRelease:
    """Put the accepted release at ``position`` in force."""

    position: int


Command: TypeAlias = SubmitRelease | ActivateRelease


class CommandFaultKind(StrEnum):
    """Classify the reason why bytes are not a command."""

    UNKNOWN_TAG = "unknown_tag"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"


@dataclass(frozen=True, slots=True)
class CommandFault:
    """Describe why bytes cannot be decoded as a command."""

    kind: CommandFaultKind
    detail: str


def encode_command(command: Command) -> bytes:
    """Encode a command for the log."""
    match command:
        case SubmitRelease():
            approval = encode_approval(command.approval)
            return b"".join(
                (
                    _SUBMIT_TAG,
                    command.base_digest,
                    _LENGTH.pack(len(approval)),
                    approval,
                    command.difference,
                ),
            )
        case ActivateRelease():
            return _ACTIVATE_TAG + _POSITION.pack(command.position)


def decode_command(data: bytes) -> Result[Command, CommandFault]:
    """Decode a command, rejecting bytes that no command encodes to."""
    tag, body = data[:1], data[1:]
    if tag == _ACTIVATE_TAG:
        return _decode_activation(body)
    if tag == _SUBMIT_TAG:
        return _decode_submission(body)
    return _fault(CommandFaultKind.UNKNOWN_TAG, tag.hex())


def _decode_activation(body: bytes) -> Result[Command, CommandFault]:
    if len(body) != _POSITION.size:
        return _fault(
            CommandFaultKind.MALFORMED,
            f"expected {_POSITION.size} bytes after the activation tag",
        )
    (position,) = _POSITION.unpack(body)
    return Ok(ActivateRelease(position))


def _decode_submission(body: bytes) -> Result[Command, CommandFault]:
    start = DIGEST_BYTES + _LENGTH.size
    if len(body) < start:
        return _fault(CommandFaultKind.MALFORMED, "truncated header")
    (length,) = _LENGTH.unpack(body[DIGEST_BYTES:start])
    end = start + length
    if len(body) < end:
        return _fault(CommandFaultKind.MALFORMED, "truncated approval")
    if len(body) - end > MAX_ENCODED_BYTES:
        return _fault(CommandFaultKind.TOO_LARGE, "difference is too large")
    approval = decode_approval(body[start:end])
    if isinstance(approval, Err):
        return _fault(CommandFaultKind.MALFORMED, approval.err_value.detail)
    return Ok(
        SubmitRelease(body[:DIGEST_BYTES], body[end:], approval.ok_value),
    )


def _fault(kind: CommandFaultKind, detail: str) -> Err[CommandFault]:
    return Err(CommandFault(kind, detail))

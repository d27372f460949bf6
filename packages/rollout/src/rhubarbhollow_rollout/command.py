"""Commands on rollouts and their encoding in the replicated log."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import Any, Final, TypeAlias

from result import Err, Ok, Result

from rhubarbhollow_rollout.record import RolloutState

# The first byte of an entry; release commands use other ones.
ROLLOUT_TAG: Final = b"R"
MAX_TEXT_CHARACTERS: Final = 255
MAX_DURATION_MS: Final = 24 * 3600 * 1000
MAX_PERMILLE: Final = 1000
# Sums of integers of commands still fit the 64 bits of the wire.
MAX_INTEGER: Final = 1 << 61


@dataclass(frozen=True, slots=True)
class StartRollout:
    """Move a service's calls to ``new_version`` within a duration.

    ``ordered_at_ms`` is the calendar time of the instance that got the
    order, in milliseconds since the epoch. It is used by instances that
    were not running when the order was committed.
    """

    service: str
    new_version: str
    duration_ms: int
    ordered_at_ms: int


@dataclass(frozen=True, slots=True)
class SetExposure:
    """Set the share of a running rollout and its step."""

    service: str
    number: int
    share_permille: int
    step: int
    elapsed_ms: int


@dataclass(frozen=True, slots=True)
class ConcludeRollout:
    """End a running rollout with an outcome."""

    service: str
    number: int
    state: RolloutState
    elapsed_ms: int


RolloutCommand: TypeAlias = StartRollout | SetExposure | ConcludeRollout

_KINDS: Final[dict[str, type[RolloutCommand]]] = {
    "start": StartRollout,
    "expose": SetExposure,
    "conclude": ConcludeRollout,
}
_NAMES: Final = {kind: name for name, kind in _KINDS.items()}
_LIMITS: Final = {
    "duration_ms": (1, MAX_DURATION_MS),
    "ordered_at_ms": (0, MAX_INTEGER),
    "number": (1, MAX_INTEGER),
    "share_permille": (0, MAX_PERMILLE),
    "step": (0, MAX_INTEGER),
    "elapsed_ms": (0, MAX_INTEGER),
}


class RolloutFaultKind(StrEnum):
    """Classify the reason why bytes are not a rollout command."""

    MALFORMED = "malformed"
    OUT_OF_RANGE = "out_of_range"


@dataclass(frozen=True, slots=True)
class RolloutCommandFault:
    """Describe why bytes cannot be decoded as a rollout command."""

    kind: RolloutFaultKind
    detail: str


def is_rollout_command(payload: bytes) -> bool:
    """Return whether a log entry is a command on rollouts."""
    return payload[:1] == ROLLOUT_TAG


def encode_rollout_command(command: RolloutCommand) -> bytes:
    """Encode a command for the log; equal commands give equal bytes."""
    document = {"kind": _NAMES[type(command)], **asdict(command)}
    text = json.dumps(document, sort_keys=True, separators=(",", ":"))
    return ROLLOUT_TAG + text.encode()


def decode_rollout_command(
    payload: bytes,
) -> Result[RolloutCommand, RolloutCommandFault]:
    """Decode a command, rejecting fields that are out of range."""
    try:
        document = json.loads(payload[1:])
    except (ValueError, RecursionError):
        return _malformed("the command is not JSON")
    if not isinstance(document, dict):
        return _malformed("the command is not a JSON object")
    kind = document.pop("kind", None)
    command = _KINDS.get(kind) if isinstance(kind, str) else None
    if command is None:
        return _malformed("the kind of the command is unknown")
    if set(document) != set(command.__slots__):
        return _malformed("the command has other fields than its kind")
    fault = _find_fault(document)
    if fault is not None:
        return Err(fault)
    if command is ConcludeRollout:
        document["state"] = RolloutState(document["state"])
    return Ok(command(**document))


def _find_fault(document: dict[str, Any]) -> RolloutCommandFault | None:
    for name, value in document.items():
        limits = _LIMITS.get(name)
        if limits is not None:
            is_valid = type(value) is int and limits[0] <= value <= limits[1]
        elif name == "state":
            is_valid = value in {"completed", "rolled_back"}
        else:
            is_valid = is_valid_text(value)
        if not is_valid:
            return RolloutCommandFault(RolloutFaultKind.OUT_OF_RANGE, name)
    return None


def is_valid_text(value: object) -> bool:
    """Return whether a value can name a service or a version."""
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_TEXT_CHARACTERS
        and value.isprintable()
    )


def _malformed(detail: str) -> Err[RolloutCommandFault]:
    return Err(RolloutCommandFault(RolloutFaultKind.MALFORMED, detail))

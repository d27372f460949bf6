"""The replicated state machine of releases and rollouts."""

from __future__ import annotations

import hashlib
import struct
from typing import TYPE_CHECKING, Final

from result import Err

from rhubarbhollow_release.command import decode_command
from rhubarbhollow_release.ledger import ReleaseLedger
from rhubarbhollow_release.snapshot import SnapshotFault, SnapshotFaultKind
from rhubarbhollow_rollout.command import (
    decode_rollout_command,
    is_rollout_command,
)
from rhubarbhollow_rollout.ledger import RolloutLedger

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rhubarbhollow_release.trust import TrustAnchor

# Begins a snapshot that has rollouts. Others begin with a SHA-256,
# which has these bytes by chance once in 2**96.
_WITH_ROLLOUTS: Final = b"\0rollouts1\0\0"
_LENGTH: Final = struct.Struct(">Q")
_DIGEST_BYTES: Final = 32


class UnreadableSnapshotError(Exception):
    """A snapshot with a valid checksum does not decode to a ledger."""

    def __init__(self, fault: SnapshotFault) -> None:
        super().__init__(fault)
        self.fault = fault


class ReleaseMachine:
    """Apply committed commands to the releases and the rollouts.

    Entries and snapshots of versions without rollouts stay readable,
    and a mesh in which none was ordered writes the same bytes as they.
    """

    def __init__(
        self,
        mesh: str,
        trusted: Mapping[str, TrustAnchor],
    ) -> None:
        self._mesh = mesh
        self._trusted = trusted
        self._ledger = ReleaseLedger(mesh, trusted)
        self._rollouts = RolloutLedger()

    @property
    def ledger(self) -> ReleaseLedger:
        """Return the ledger as of the last applied entry."""
        return self._ledger

    @property
    def rollouts(self) -> RolloutLedger:
        """Return the rollouts as of the last applied entry."""
        return self._rollouts

    def apply(self, index: int, payload: bytes) -> object:
        """Apply a command; return its outcome or the decoding fault."""
        del index
        if is_rollout_command(payload):
            rollout = decode_rollout_command(payload)
            if isinstance(rollout, Err):
                return rollout.err_value
            return self._rollouts.apply(rollout.ok_value)
        command = decode_command(payload)
        if isinstance(command, Err):
            return command.err_value
        return self._ledger.apply(command.ok_value)

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        releases = self._ledger.snapshot()
        if not self._rollouts.revision:
            return releases
        rollouts = self._rollouts.snapshot()
        return b"".join(
            (
                _WITH_ROLLOUTS,
                hashlib.sha256(rollouts).digest(),
                _LENGTH.pack(len(rollouts)),
                rollouts,
                releases,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by that of an encoded snapshot."""
        rollouts = RolloutLedger()
        if data.startswith(_WITH_ROLLOUTS):
            rollouts, data = _split_snapshot(data)
        restored = ReleaseLedger.restore(data, self._mesh, self._trusted)
        if isinstance(restored, Err):
            raise UnreadableSnapshotError(restored.err_value)
        self._ledger = restored.ok_value
        self._rollouts = rollouts


def _split_snapshot(data: bytes) -> tuple[RolloutLedger, bytes]:
    """Return the rollouts and the bytes of the releases' snapshot."""
    begin = len(_WITH_ROLLOUTS)
    lengths_at = begin + _DIGEST_BYTES
    digest = data[begin:lengths_at]
    start = lengths_at + _LENGTH.size
    if len(data) < start:
        raise _unreadable(SnapshotFaultKind.MALFORMED)
    (length,) = _LENGTH.unpack(data[lengths_at:start])
    rollouts = data[start : start + length]
    if hashlib.sha256(rollouts).digest() != digest:
        raise _unreadable(SnapshotFaultKind.CHECKSUM)
    try:
        ledger = RolloutLedger.restore(rollouts)
    except (ValueError, KeyError, TypeError) as error:
        raise _unreadable(SnapshotFaultKind.MALFORMED) from error
    return ledger, data[start + length :]


def _unreadable(kind: SnapshotFaultKind) -> UnreadableSnapshotError:
    return UnreadableSnapshotError(SnapshotFault(kind, "rollouts"))

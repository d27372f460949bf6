"""The replicated state machine of releases, rollouts and departures."""

from __future__ import annotations

import hashlib
import struct
from typing import TYPE_CHECKING, Final

from result import Err

from rhubarbhollow_distribution.departure_command import (
    decode_departure_command,
    is_departure_command,
)
from rhubarbhollow_distribution.departure_ledger import DepartureLedger
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

# Begin a snapshot that has rollouts or departures. Others begin with a
# SHA-256, which has these bytes by chance once in 2**96.
_WITH_ROLLOUTS: Final = b"\0rollouts1\0\0"
_WITH_DEPARTURES: Final = b"\0departures1"
_LENGTH: Final = struct.Struct(">Q")
_DIGEST_BYTES: Final = 32


class UnreadableSnapshotError(Exception):
    """A snapshot with a valid checksum does not decode to a ledger."""

    def __init__(self, fault: SnapshotFault) -> None:
        super().__init__(fault)
        self.fault = fault


class ReleaseMachine:
    """Apply committed commands to releases, rollouts and departures.

    Entries and snapshots of versions without rollouts or departures
    stay readable, and a mesh that has none writes the same bytes as
    they.
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
        self._departures = DepartureLedger()

    @property
    def ledger(self) -> ReleaseLedger:
        """Return the ledger as of the last applied entry."""
        return self._ledger

    @property
    def rollouts(self) -> RolloutLedger:
        """Return the rollouts as of the last applied entry."""
        return self._rollouts

    @property
    def departures(self) -> DepartureLedger:
        """Return the departures as of the last applied entry."""
        return self._departures

    def apply(self, index: int, payload: bytes) -> object:
        """Apply a command; return its outcome or the decoding fault."""
        del index
        if is_rollout_command(payload):
            rollout = decode_rollout_command(payload)
            if isinstance(rollout, Err):
                return rollout.err_value
            return self._rollouts.apply(rollout.ok_value)
        if is_departure_command(payload):
            departures = decode_departure_command(payload)
            if isinstance(departures, Err):
                return departures.err_value
            return self._departures.apply(departures.ok_value)
        command = decode_command(payload)
        if isinstance(command, Err):
            return command.err_value
        return self._ledger.apply(command.ok_value)

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        data = self._ledger.snapshot()
        if self._rollouts.revision:
            data = _prepend(_WITH_ROLLOUTS, self._rollouts.snapshot(), data)
        if not self._departures.is_empty:
            departures = self._departures.snapshot()
            data = _prepend(_WITH_DEPARTURES, departures, data)
        return data

    def restore(self, data: bytes) -> None:
        """Replace the state by that of an encoded snapshot."""
        departures, rollouts = DepartureLedger(), RolloutLedger()
        try:
            if data.startswith(_WITH_DEPARTURES):
                section, data = _split(data)
                departures = DepartureLedger.restore(section)
            if data.startswith(_WITH_ROLLOUTS):
                section, data = _split(data)
                rollouts = RolloutLedger.restore(section)
        except (ValueError, KeyError, TypeError) as error:
            raise _unreadable(SnapshotFaultKind.MALFORMED) from error
        restored = ReleaseLedger.restore(data, self._mesh, self._trusted)
        if isinstance(restored, Err):
            raise UnreadableSnapshotError(restored.err_value)
        self._ledger = restored.ok_value
        self._rollouts = rollouts
        self._departures = departures


def _prepend(tag: bytes, section: bytes, rest: bytes) -> bytes:
    """Return a snapshot with a checked section before the others."""
    digest = hashlib.sha256(section).digest()
    return b"".join((tag, digest, _LENGTH.pack(len(section)), section, rest))


def _split(data: bytes) -> tuple[bytes, bytes]:
    """Return the first section of a snapshot and what follows it."""
    begin = len(_WITH_ROLLOUTS)
    lengths_at = begin + _DIGEST_BYTES
    digest = data[begin:lengths_at]
    start = lengths_at + _LENGTH.size
    if len(data) < start:
        raise _unreadable(SnapshotFaultKind.MALFORMED)
    (length,) = _LENGTH.unpack(data[lengths_at:start])
    section = data[start : start + length]
    if hashlib.sha256(section).digest() != digest:
        raise _unreadable(SnapshotFaultKind.CHECKSUM)
    return section, data[start + length :]


def _unreadable(kind: SnapshotFaultKind) -> UnreadableSnapshotError:
    return UnreadableSnapshotError(
        SnapshotFault(kind, "a section before the releases")
    )

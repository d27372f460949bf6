"""The replicated state machine that applies release commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from rhubarbhollow_release.command import decode_command
from rhubarbhollow_release.ledger import ReleaseLedger

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rhubarbhollow_release.snapshot import SnapshotFault
    from rhubarbhollow_release.trust import TrustAnchor


class UnreadableSnapshotError(Exception):
    """A snapshot with a valid checksum does not decode to a ledger."""

    def __init__(self, fault: SnapshotFault) -> None:
        super().__init__(fault)
        self.fault = fault


class ReleaseMachine:
    """Apply committed commands to the release ledger."""

    def __init__(
        self,
        mesh: str,
        trusted: Mapping[str, TrustAnchor],
    ) -> None:
        self._mesh = mesh
        self._trusted = trusted
        self._ledger = ReleaseLedger(mesh, trusted)

    @property
    def ledger(self) -> ReleaseLedger:
        """Return the ledger as of the last applied entry."""
        return self._ledger

    def apply(self, index: int, payload: bytes) -> object:
        """Apply a command; return its outcome or the decoding fault."""
        del index
        command = decode_command(payload)
        if isinstance(command, Err):
            return command.err_value
        return self._ledger.apply(command.ok_value)

    def snapshot(self) -> bytes:
        """Return the encoded ledger."""
        return self._ledger.snapshot()

    def restore(self, data: bytes) -> None:
        """Replace the ledger by that of an encoded snapshot."""
        restored = ReleaseLedger.restore(data, self._mesh, self._trusted)
        if isinstance(restored, Err):
            raise UnreadableSnapshotError(restored.err_value)
        self._ledger = restored.ok_value

"""The replicated state machine that applies claim commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from rhubarbhollow_calls.claim_codec import (
    decode_command,
    decode_snapshot,
    encode_snapshot,
)
from rhubarbhollow_calls.claim_ledger import ClaimLedger

if TYPE_CHECKING:
    from rhubarbhollow_calls.claim_codec import ClaimCodecFault


class UnreadableClaimsError(Exception):
    """A snapshot with a valid checksum does not decode to claims."""

    def __init__(self, fault: ClaimCodecFault) -> None:
        super().__init__(fault)
        self.fault = fault


class ClaimMachine:
    """Apply committed commands to the claim ledger."""

    def __init__(self) -> None:
        self._ledger = ClaimLedger()

    @property
    def ledger(self) -> ClaimLedger:
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
        return encode_snapshot(self._ledger.snapshot())

    def restore(self, data: bytes) -> None:
        """Replace the ledger by that of an encoded snapshot."""
        decoded = decode_snapshot(data)
        if isinstance(decoded, Err):
            raise UnreadableClaimsError(decoded.err_value)
        self._ledger = ClaimLedger.restore(decoded.ok_value)

"""The replicated state machine of rollouts.

It is deterministic: the same commands in the same order give the same
records and outcomes on every replica.
"""

from __future__ import annotations

import json
from dataclasses import asdict, replace
from typing import TYPE_CHECKING, Any, Final

from rhubarbhollow_rollout.command import (
    ConcludeRollout,
    RolloutCommand,
    SetExposure,
    StartRollout,
)
from rhubarbhollow_rollout.outcome import (
    RolloutChanged,
    RolloutInProgress,
    RolloutKnown,
    RolloutNotRunning,
    RolloutOutcome,
    RolloutStarted,
    TooManyRollouts,
)
from rhubarbhollow_rollout.record import RolloutRecord, RolloutState

if TYPE_CHECKING:
    from collections.abc import Mapping

# Far above the services of the largest mesh; bounds the snapshot.
MAX_SERVICES: Final = 4_096


class RolloutLedger:
    """Hold the latest rollout of each service."""

    def __init__(self) -> None:
        self._records: dict[str, RolloutRecord] = {}
        self._last_number = 0
        self._revision = 0

    @property
    def revision(self) -> int:
        """Return a number that rises with each change."""
        return self._revision

    @property
    def records(self) -> Mapping[str, RolloutRecord]:
        """Return the latest rollout of each service by its name."""
        return self._records

    @property
    def running(self) -> tuple[RolloutRecord, ...]:
        """Return the rollouts that have no outcome yet."""
        return tuple(
            record for record in self._records.values() if record.is_running
        )

    def apply(self, command: RolloutCommand) -> RolloutOutcome:
        """Apply the next command of the log."""
        match command:
            case StartRollout():
                return self._start(command)
            case SetExposure():
                return self._change(
                    command.service,
                    command.number,
                    command.elapsed_ms,
                    share_permille=command.share_permille,
                    step=command.step,
                )
            case ConcludeRollout():
                return self._conclude(command)

    def snapshot(self) -> bytes:
        """Encode the state; equal states give equal bytes."""
        document = {
            "last_number": self._last_number,
            "revision": self._revision,
            "records": [
                asdict(self._records[name]) for name in sorted(self._records)
            ],
        }
        text = json.dumps(document, sort_keys=True, separators=(",", ":"))
        return text.encode()

    @classmethod
    def restore(cls, data: bytes) -> RolloutLedger:
        """Rebuild a ledger from its snapshot.

        Raises ``ValueError``, ``KeyError`` or ``TypeError`` for bytes
        that are no snapshot.
        """
        document: dict[str, Any] = json.loads(data)
        ledger = cls()
        ledger._last_number = int(document["last_number"])
        ledger._revision = int(document["revision"])
        for fields in document["records"]:
            state = RolloutState(fields.pop("state"))
            record = RolloutRecord(state=state, **fields)
            ledger._records[record.service] = record
        return ledger

    def _start(self, command: StartRollout) -> RolloutOutcome:
        known = self._records.get(command.service)
        if known is None and len(self._records) >= MAX_SERVICES:
            return TooManyRollouts(MAX_SERVICES)
        if known is not None:
            if _is_answered(known, command):
                return RolloutKnown(known)
            if known.is_running:
                return RolloutInProgress(known)
        self._last_number += 1
        self._revision += 1
        record = RolloutRecord(
            command.service,
            command.new_version,
            command.duration_ms,
            command.ordered_at_ms,
            self._last_number,
            self._revision,
            stable_version="" if known is None else known.stable_version,
        )
        self._records[command.service] = record
        return RolloutStarted(record)

    def _conclude(self, command: ConcludeRollout) -> RolloutOutcome:
        changes: dict[str, Any] = {"state": command.state}
        if command.state is RolloutState.COMPLETED:
            known = self._records.get(command.service)
            version = "" if known is None else known.new_version
            changes["stable_version"] = version
        return self._change(
            command.service, command.number, command.elapsed_ms, **changes
        )

    def _change(
        self,
        service: str,
        number: int,
        elapsed_ms: int,
        **changes: Any,  # noqa: ANN401
    ) -> RolloutOutcome:
        known = self._records.get(service)
        if known is None or known.number != number or not known.is_running:
            return RolloutNotRunning(service, number)
        self._revision += 1
        record = replace(
            known,
            revision=self._revision,
            elapsed_ms=max(known.elapsed_ms, elapsed_ms),
            **changes,
        )
        self._records[service] = record
        return RolloutChanged(record)


def _is_answered(known: RolloutRecord, command: StartRollout) -> bool:
    """Return whether an order gets the answer of an earlier one."""
    if known.new_version != command.new_version:
        return False
    is_same = known.duration_ms == command.duration_ms
    return is_same or known.state is RolloutState.COMPLETED

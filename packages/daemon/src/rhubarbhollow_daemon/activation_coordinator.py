"""Activation of accepted releases by the leader."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import structlog
from result import Err

from rhubarbhollow_distribution.activation import (
    SUMMARY_LEASE_SECONDS,
    ActivationPlanner,
)
from rhubarbhollow_release.command import ActivateRelease, encode_command
from rhubarbhollow_replication.role import Role

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_daemon.release_machine import ReleaseMachine
    from rhubarbhollow_distribution.register_summary import RegisterSummary
    from rhubarbhollow_replication.replica import Replica
    from rhubarbhollow_wire.clock import Clock

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _ReceivedSummary:
    summary: RegisterSummary
    received_at: float


class ActivationCoordinator:
    """Track the staging progress of all nodes and propose activations.

    Every instance collects the summaries, so that a new leader knows
    the state of the fleet at once; only the leader proposes.
    """

    def __init__(
        self,
        controls: Iterable[str],
        machine: ReleaseMachine,
        replica: Replica,
        clock: Clock,
        staging_deadline_seconds: float,
    ) -> None:
        self._machine = machine
        self._replica = replica
        self._planner = ActivationPlanner(
            controls,
            clock,
            staging_deadline_seconds,
        )
        self._clock = clock
        self._summaries: dict[str, _ReceivedSummary] = {}

    @property
    def is_leader(self) -> bool:
        """Return whether this instance is currently the leader."""
        return self._replica.status.role is Role.LEADER

    @property
    def summaries(self) -> tuple[RegisterSummary, ...]:
        """Return the latest summary of each instance, if still recent.

        The nodes of an instance that became silent are counted by the
        instances that they reconnect to, so its last summary would
        count them twice.
        """
        oldest = self._clock.monotonic() - SUMMARY_LEASE_SECONDS
        return tuple(
            received.summary
            for received in self._summaries.values()
            if received.received_at >= oldest
        )

    def set_controls(self, controls: Iterable[str]) -> None:
        """Set the control instances whose nodes have to be staged."""
        self._planner.set_controls(controls)

    def record_summary(self, summary: RegisterSummary) -> None:
        """Record a control instance's latest summary."""
        now = self._clock.monotonic()
        self._summaries[summary.control] = _ReceivedSummary(summary, now)
        self._planner.record_summary(summary)

    def record_log(self) -> None:
        """Record which positions the log has accepted and activated."""
        ledger = self._machine.ledger
        self._planner.record_activated(ledger.active_position)
        for position in range(
            ledger.active_position + 1,
            ledger.latest_position + 1,
        ):
            self._planner.record_accepted(position)

    def maybe_plan(self) -> int | None:
        """Return the position to activate now, or ``None``.

        Always ``None`` on an instance that is not the leader.
        """
        if not self.is_leader:
            return None
        return self._planner.maybe_propose()

    async def activate(self, position: int) -> None:
        """Propose the activation; the planner retries on failure."""
        command = encode_command(ActivateRelease(position))
        outcome = await self._replica.propose(command)
        if isinstance(outcome, Err):
            _log.warning(
                "activation_not_committed",
                position=position,
                fault=type(outcome.err_value).__name__,
            )
            return
        _log.info("release_activated", position=position)

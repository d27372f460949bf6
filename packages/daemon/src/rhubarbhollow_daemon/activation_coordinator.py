"""Activation of accepted releases by the leader."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import structlog
from result import Err

from rhubarbhollow_daemon.summary_schedule import (
    OTHERS_REPEAT_INTERVAL_SECONDS,
)
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

# Repetitions of a summary that an instance without the lead may miss
# before it no longer shows the sender's nodes.
OTHERS_LEASE_REPEATS: Final = 2.5

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _ReceivedSummary:
    summary: RegisterSummary
    received_at: float


class ActivationCoordinator:
    """Track the staging progress of all nodes and propose activations.

    Every instance sends the leader its summary, and a new leader at
    once; the leader waits for those that it hasn't heard from. Others
    get a summary at times, to show operators the state of the fleet.
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
        lease_seconds = (
            SUMMARY_LEASE_SECONDS
            if self.is_leader
            else OTHERS_LEASE_REPEATS * OTHERS_REPEAT_INTERVAL_SECONDS
        )
        oldest = self._clock.monotonic() - lease_seconds
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

    def note_leadership(self) -> None:
        """Wait for the summaries of all instances once more."""
        self._planner.restart_wait()

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

        Always ``None`` on an instance that is not the leader, or that
        still applies what was accepted before it became the leader.
        """
        if not self.is_leader or not self._replica.status.is_fresh:
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

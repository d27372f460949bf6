"""The leader's part: putting accepted releases in force."""

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
class _HeardSummary:
    summary: RegisterSummary
    heard_at: float


class LeaderDesk:
    """Follow all nodes' progress and propose activations.

    Every instance collects the summaries, so that one that becomes
    leader knows the fleet at once; only the leader proposes.
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
        self._summaries: dict[str, _HeardSummary] = {}

    @property
    def is_leader(self) -> bool:
        """Return whether this instance leads now."""
        return self._replica.status.role is Role.LEADER

    @property
    def summaries(self) -> tuple[RegisterSummary, ...]:
        """Return the latest summary of each instance heard lately.

        The nodes of an instance that went silent are counted where they
        reconnect, so its last summary must not count them twice.
        """
        oldest = self._clock.monotonic() - SUMMARY_LEASE_SECONDS
        return tuple(
            heard.summary
            for heard in self._summaries.values()
            if heard.heard_at >= oldest
        )

    def set_controls(self, controls: Iterable[str]) -> None:
        """Wait for the nodes of these control instances from now on."""
        self._planner.set_controls(controls)

    def note_summary(self, summary: RegisterSummary) -> None:
        """Take over a control instance's counts."""
        now = self._clock.monotonic()
        self._summaries[summary.control] = _HeardSummary(summary, now)
        self._planner.note_summary(summary)

    def note_log(self) -> None:
        """Take over what the log has accepted and activated."""
        ledger = self._machine.ledger
        self._planner.note_activated(ledger.active_position)
        for position in range(
            ledger.active_position + 1,
            ledger.latest_position + 1,
        ):
            self._planner.note_accepted(position)

    def maybe_plan(self) -> int | None:
        """Return the position to activate now, on the leader only."""
        if not self.is_leader:
            return None
        return self._planner.maybe_propose()

    async def activate(self, position: int) -> None:
        """Commit the activation; the planner repeats a lost one."""
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

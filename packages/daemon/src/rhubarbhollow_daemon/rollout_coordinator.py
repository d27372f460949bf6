"""The leader's decisions on rollouts, and the evidence for them."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING, Final

import structlog
from result import Err

from rhubarbhollow_rollout.command import (
    ConcludeRollout,
    SetExposure,
    encode_rollout_command,
)
from rhubarbhollow_rollout.evidence_check import is_consistent
from rhubarbhollow_rollout.judge import Finding, Verdict
from rhubarbhollow_rollout.messages import RolloutEvidence, RolloutSummary
from rhubarbhollow_rollout.planner import RolloutPlanner

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_daemon.peer_links import PeerLinks
    from rhubarbhollow_daemon.release_machine import ReleaseMachine
    from rhubarbhollow_replication.replica import Replica
    from rhubarbhollow_rollout.record import RolloutRecord
    from rhubarbhollow_wire.clock import Clock

MS_PER_SECOND: Final = 1000
# Routes of all running rollouts; bounds a summary.
MAX_TOTALS: Final = 4_096
# Reports of many nodes share a summary to another data centre.
SUMMARY_SECONDS: Final = 0.4
# A summary that was lost with a connection is repeated.
REPEAT_SECONDS: Final = 1.0

_log = structlog.get_logger()
_Command = SetExposure | ConcludeRollout


class RolloutCoordinator:
    """Collect the evidence of nodes and, as the leader, decide.

    Every control instance passes on totals of what its nodes report. A
    new leader gets them within a second and goes on from there; the
    state and the age of each rollout are in the log.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        machine: ReleaseMachine,
        replica: Replica,
        links: PeerLinks,
        clock: Clock,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._machine = machine
        self._replica = replica
        self._links = links
        self._clock = clock
        self._totals: dict[tuple[int, str], RolloutEvidence] = {}
        self._has_news = False
        self._sent_at = float("-inf")
        self._sent_to: str | None = None
        self._summaries: dict[tuple[str, int], RolloutSummary] = {}
        self._planners: dict[int, RolloutPlanner] = {}
        # The time at which each running rollout was ordered, on the
        # monotonic clock of this instance.
        self._ordered_at: dict[int, float] = {}
        self._was_fresh = False
        self._pending: set[int] = set()

    def record_evidence(self, evidence: Iterable[RolloutEvidence]) -> None:
        """Add a node's counts to the totals of this instance."""
        running = {record.number for record in self._running}
        for item in evidence:
            key = item.number, item.route
            known = self._totals.get(key)
            is_room = known is not None or len(self._totals) < MAX_TOTALS
            if item.number not in running or not is_room:
                continue
            if not is_consistent(item):
                _log.warning("rollout_evidence_refused", route=item.route)
                continue
            self._totals[key] = item if known is None else _add(known, item)
            self._has_news = True

    def record_summary(self, summary: RolloutSummary) -> None:
        """Use the totals of a control instance.

        They are kept for a planner that is made later, as they may
        arrive before this instance knows that it leads.
        """
        evidence = tuple(filter(is_consistent, summary.evidence))
        if len(evidence) < len(summary.evidence):
            _log.warning("rollout_evidence_refused", peer=summary.control)
            summary = replace(summary, evidence=evidence)
        self._summaries[summary.control, summary.incarnation] = summary
        for planner in self._planners.values():
            _observe(planner, summary)

    def count_evidence(self, number: int) -> Counter[str]:
        """Return the totals of a rollout over all routes."""
        counts: Counter[str] = Counter()
        for (counted, _), totals in self._totals.items():
            if counted == number:
                for name in _COUNTS:
                    counts[name] += getattr(totals, name)
        return counts

    def tick(self) -> tuple[_Command, ...]:
        """Pass evidence on; return the commands to propose now."""
        running = self._running
        now = self._clock.monotonic()
        self._note_ages(running, now)
        self._was_fresh = self._replica.status.is_fresh
        if not running:
            self._totals.clear()
            self._planners.clear()
            self._summaries.clear()
            return ()
        numbers = {record.number for record in running}
        for key in [key for key in self._totals if key[0] not in numbers]:
            del self._totals[key]
        commands = self._plan(running, now)
        self._pass_on(now)
        return commands

    async def propose(self, command: _Command) -> None:
        """Commit a command; the next tick plans again if it fails."""
        if command.number in self._pending:
            return
        self._pending.add(command.number)
        planner = self._planners.get(command.number)
        try:
            payload = encode_rollout_command(command)
            outcome = await self._replica.propose(payload)
        finally:
            self._pending.discard(command.number)
        if isinstance(outcome, Err):
            _log.warning(
                "rollout_not_committed",
                service=command.service,
                fault=type(outcome.err_value).__name__,
            )
            return
        if isinstance(command, SetExposure):
            _log.info(
                "rollout_exposure_set",
                service=command.service,
                share_permille=command.share_permille,
                step=command.step,
                elapsed_ms=command.elapsed_ms,
            )
            return
        finding = Finding(Verdict.GOOD) if planner is None else planner.finding
        excess = finding.excess
        _log.info(
            "rollout_concluded",
            service=command.service,
            state=command.state.value,
            elapsed_ms=command.elapsed_ms,
            route=finding.route,
            kind=finding.kind,
            bad=0 if excess is None else excess.bad,
            calls=0 if excess is None else excess.calls,
            strength=0 if excess is None else round(excess.strength, 1),
        )

    @property
    def _running(self) -> tuple[RolloutRecord, ...]:
        return self._machine.rollouts.running

    def _plan(
        self, running: tuple[RolloutRecord, ...], now: float
    ) -> tuple[_Command, ...]:
        status = self._replica.status
        if not status.is_leader or not status.is_fresh:
            self._planners.clear()
            return ()
        commands = []
        for record in running:
            planner = self._planners.get(record.number)
            if planner is None:
                age = now - self._ordered_at[record.number]
                planner = RolloutPlanner(record, age, now)
                for summary in self._summaries.values():
                    _observe(planner, summary)
                self._planners[record.number] = planner
            command = planner.plan(record, now)
            if command is not None and record.number not in self._pending:
                commands.append(command)
        return tuple(commands)

    def _pass_on(self, now: float) -> None:
        """Send the totals to the leader when they are due."""
        leader = self._replica.status.leader
        is_new_leader = leader != self._sent_to
        is_due = now >= self._sent_at + REPEAT_SECONDS or (
            self._has_news and now >= self._sent_at + SUMMARY_SECONDS
        )
        if leader is None or not (is_due or is_new_leader):
            return
        if not self._totals:
            return
        self._sent_at = now
        self._sent_to = leader
        self._has_news = False
        summary = RolloutSummary(
            self._name, self._incarnation, tuple(self._totals.values())
        )
        if leader == self._name:
            self.record_summary(summary)
        else:
            self._links.send(leader, summary)

    def _note_ages(
        self, running: tuple[RolloutRecord, ...], now: float
    ) -> None:
        """Note when new rollouts were ordered.

        An instance that was up to date has got the order just now. One
        that was away takes the calendar time of the order; its clock
        may differ from that of the instance which got it, so the age is
        bounded by what the log says and by the duration.
        """
        known = self._ordered_at
        self._ordered_at = {}
        utc_ms = self._clock.utc().timestamp() * MS_PER_SECOND
        for record in running:
            ordered_at = known.get(record.number)
            if ordered_at is None:
                age_ms = 0.0
                if not self._was_fresh:
                    age_ms = utc_ms - record.ordered_at_ms
                limit = max(record.duration_ms, record.elapsed_ms)
                age_ms = min(max(age_ms, record.elapsed_ms), limit)
                ordered_at = now - age_ms / MS_PER_SECOND
            self._ordered_at[record.number] = ordered_at


def _observe(planner: RolloutPlanner, summary: RolloutSummary) -> None:
    planner.observe(summary.control, summary.incarnation, summary.evidence)


def _add(first: RolloutEvidence, second: RolloutEvidence) -> RolloutEvidence:
    return replace(
        first,
        **{
            name: getattr(first, name) + getattr(second, name)
            for name in _COUNTS
        },
    )


_COUNTS: Final = tuple(
    name
    for name in RolloutEvidence.__slots__
    if name.startswith(("stable_", "new_"))
)

"""What the leader does next about a running rollout."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_rollout.command import ConcludeRollout, SetExposure
from rhubarbhollow_rollout.judge import Finding, RolloutJudge, Verdict
from rhubarbhollow_rollout.record import RolloutState
from rhubarbhollow_rollout.schedule import Schedule
from rhubarbhollow_rollout.view import WHOLE_PERMILLE

if TYPE_CHECKING:
    from rhubarbhollow_rollout.messages import RolloutEvidence
    from rhubarbhollow_rollout.record import RolloutRecord

MS_PER_SECOND: Final = 1000
# A new leader gets the totals of all control instances within this time
# and gives no verdict in favour of a version before.
LEARN_SECONDS: Final = 0.6
# Doubts hold the share back for this part of the duration. A small
# share would leave them undecided until the deadline.
MAX_HOLD_PART: Final = 0.3


class RolloutPlanner:
    """Plan the commands of one rollout from its age and the evidence.

    ``age`` is how long ago it was ordered, in seconds, at the time
    ``now``.
    """

    def __init__(self, record: RolloutRecord, age: float, now: float) -> None:
        self._judge = RolloutJudge(record.number)
        self._schedule = Schedule(record.duration_ms / MS_PER_SECOND)
        self._ordered_at = now - max(age, record.elapsed_ms / MS_PER_SECOND)
        self._began_at = now
        self._finding = Finding(Verdict.GOOD)

    @property
    def number(self) -> int:
        """Return the number of the rollout."""
        return self._judge.number

    @property
    def finding(self) -> Finding:
        """Return the evidence that the last plan was based on."""
        return self._finding

    def observe(
        self,
        control: str,
        incarnation: int,
        evidence: tuple[RolloutEvidence, ...],
    ) -> None:
        """Add the totals that a control instance reports."""
        self._judge.observe(control, incarnation, evidence)

    def plan(
        self, record: RolloutRecord, now: float
    ) -> SetExposure | ConcludeRollout | None:
        """Return the next command, or ``None``."""
        elapsed = now - self._ordered_at
        self._judge.close_strata(now)
        self._finding = self._judge.judge(now)
        if self._finding.verdict is Verdict.BAD:
            return self._conclude(record, RolloutState.ROLLED_BACK, elapsed)
        if elapsed >= self._schedule.hands_over_at:
            return self._end(record, elapsed, now)
        if (
            self._finding.verdict is Verdict.DOUBTFUL
            and elapsed < MAX_HOLD_PART * self._schedule.duration
        ):
            return None
        return self._expose(record, elapsed)

    def _end(
        self, record: RolloutRecord, elapsed: float, now: float
    ) -> SetExposure | ConcludeRollout | None:
        """Hand over to a good version, then complete its rollout."""
        self._finding = self._judge.judge(now, is_final=True)
        is_bad = self._finding.verdict is Verdict.BAD
        is_due = elapsed >= self._schedule.completes_at
        if not is_bad and now < self._began_at + LEARN_SECONDS:
            return None
        if is_bad or (is_due and not self._judge.has_enough):
            return self._conclude(record, RolloutState.ROLLED_BACK, elapsed)
        if not self._judge.has_enough:
            return None
        if is_due and record.share_permille >= WHOLE_PERMILLE:
            return self._conclude(record, RolloutState.COMPLETED, elapsed)
        return self._expose(record, elapsed)

    def _expose(
        self, record: RolloutRecord, elapsed: float
    ) -> SetExposure | None:
        current = record.share_permille
        wanted = self._schedule.exposure(elapsed, current)
        if wanted.share_permille == current and wanted.step == record.step:
            return None
        return SetExposure(
            record.service,
            record.number,
            wanted.share_permille,
            wanted.step,
            round(elapsed * MS_PER_SECOND),
        )

    def _conclude(
        self, record: RolloutRecord, state: RolloutState, elapsed: float
    ) -> ConcludeRollout:
        return ConcludeRollout(
            record.service,
            record.number,
            state,
            round(elapsed * MS_PER_SECOND),
        )

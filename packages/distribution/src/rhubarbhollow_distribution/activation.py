"""The leader's decision to put an accepted release in force."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from rhubarbhollow_distribution.invariant import check_invariant

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_distribution.register_summary import RegisterSummary
    from rhubarbhollow_wire.clock import Clock

SUMMARY_LEASE_SECONDS: Final = 1.5
PROPOSAL_RETRY_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class _HeardSummary:
    summary: RegisterSummary
    heard_at: float


class ActivationPlanner:
    """Choose when to propose that a release comes into force.

    A release is ready when every node of every control instance that
    was heard lately has it staged.  An instance that is silent for
    longer than the summary lease is cut off and not waited for.  Once
    a release is overdue, the best staged position at or above it is
    chosen, so that a slow node delays it by the deadline at most.
    """

    def __init__(
        self,
        controls: Iterable[str],
        clock: Clock,
        staging_deadline_seconds: float,
        summary_lease_seconds: float = SUMMARY_LEASE_SECONDS,
    ) -> None:
        self._controls = frozenset(controls)
        self._clock = clock
        self._deadline_seconds = staging_deadline_seconds
        self._lease_seconds = summary_lease_seconds
        self._started_at = clock.monotonic()
        self._active_position = 0
        self._accepted_at: dict[int, float] = {}
        self._heard: dict[str, _HeardSummary] = {}
        self._proposed_position = 0
        self._proposed_at = 0.0

    @property
    def active_position(self) -> int:
        """Return the highest position known to be activated."""
        return self._active_position

    def set_controls(self, controls: Iterable[str]) -> None:
        """Wait for the nodes of these control instances from now on."""
        self._controls = frozenset(controls)

    def note_accepted(self, position: int) -> None:
        """Note an accepted release; its deadline begins now."""
        if position > self._active_position:
            self._accepted_at.setdefault(position, self._clock.monotonic())

    def note_activated(self, position: int) -> None:
        """Note a committed activation, which supersedes lower ones."""
        check_invariant(
            position >= self._active_position,
            "activations are committed in rising order",
        )
        self._active_position = position
        self._accepted_at = {
            accepted: since
            for accepted, since in self._accepted_at.items()
            if accepted > position
        }

    def note_summary(self, summary: RegisterSummary) -> None:
        """Take over a control instance's latest counts."""
        self._heard[summary.control] = _HeardSummary(
            summary, self._clock.monotonic()
        )

    def maybe_propose(self) -> int | None:
        """Return the position to activate now, or none.

        A proposal that was not committed is returned again after a
        while, since it may have been lost.
        """
        chosen = self._choose()
        if chosen is None:
            return None
        now = self._clock.monotonic()
        is_repeat = chosen <= self._proposed_position
        if is_repeat and now < self._proposed_at + PROPOSAL_RETRY_SECONDS:
            return None
        self._proposed_position = chosen
        self._proposed_at = now
        return chosen

    def next_due(self) -> float | None:
        """Return the time of the next deadline, or none."""
        since = min(self._accepted_at.values(), default=None)
        return None if since is None else since + self._deadline_seconds

    def _choose(self) -> int | None:
        if not self._accepted_at:
            return None
        ready = max(filter(self._is_ready, self._accepted_at), default=None)
        overdue = self._highest_overdue()
        if overdue is None:
            return ready
        if ready is not None and ready >= overdue:
            return ready
        return self._best_staged(overdue)

    def _is_ready(self, position: int) -> bool:
        awaited = (name for name in self._controls if self._is_awaited(name))
        return all(self._is_ready_at(name, position) for name in awaited)

    def _is_ready_at(self, control: str, position: int) -> bool:
        heard = self._heard.get(control)
        if heard is None:
            return False
        summary = heard.summary
        return summary.count_ready(position) >= summary.live_nodes

    def _is_awaited(self, control: str) -> bool:
        heard = self._heard.get(control)
        heard_at = heard.heard_at if heard else self._started_at
        return self._clock.monotonic() < heard_at + self._lease_seconds

    def _highest_overdue(self) -> int | None:
        oldest = self._clock.monotonic() - self._deadline_seconds
        return max(
            (
                position
                for position, since in self._accepted_at.items()
                if since <= oldest
            ),
            default=None,
        )

    def _best_staged(self, overdue: int) -> int:
        candidates = (
            position for position in self._accepted_at if position >= overdue
        )
        return max(
            candidates,
            key=lambda position: (self._count_ready(position), position),
        )

    def _count_ready(self, position: int) -> int:
        return sum(
            heard.summary.count_ready(position)
            for heard in self._heard.values()
        )

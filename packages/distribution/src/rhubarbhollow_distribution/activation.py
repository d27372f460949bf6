"""The leader's decision when to activate an accepted release."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from rhubarbhollow_distribution.invariant import check_invariant

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_distribution.register_summary import RegisterSummary
    from rhubarbhollow_wire.clock import Clock

# How long an instance is waited for after its last summary.
SUMMARY_LEASE_SECONDS: Final = 1.5
PROPOSAL_RETRY_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class _ReceivedSummary:
    summary: RegisterSummary
    received_at: float


class ActivationPlanner:
    """Choose when to propose the activation of a release.

    A release is ready when every node of every reachable control
    instance has staged it.  An instance whose last summary is older
    than the summary lease is considered unreachable and is not waited
    for.  Once a release has passed its staging deadline, the position
    at or above it that most nodes have staged is chosen, so that a slow
    node delays activation by the deadline at most.
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
        # Since when summaries are expected here.
        self._waiting_since = clock.monotonic()
        self._active_position = 0
        self._accepted_at: dict[int, float] = {}
        self._summaries: dict[str, _ReceivedSummary] = {}
        self._proposed_position = 0
        self._proposed_at = 0.0

    @property
    def active_position(self) -> int:
        """Return the highest activated position known here."""
        return self._active_position

    def set_controls(self, controls: Iterable[str]) -> None:
        """Replace the set of control instances to wait for."""
        self._controls = frozenset(controls)

    def restart_wait(self) -> None:
        """Wait for every instance as if none had been heard so far.

        A new leader has got no summaries, or old ones, before.
        """
        self._waiting_since = self._clock.monotonic()
        self._summaries.clear()

    def record_accepted(self, position: int) -> None:
        """Record an accepted release and start its staging deadline."""
        if position > self._active_position:
            self._accepted_at.setdefault(position, self._clock.monotonic())

    def record_activated(self, position: int) -> None:
        """Record a committed activation; drop superseded releases."""
        check_invariant(
            position >= self._active_position,
            "committed activations never decrease in position",
        )
        self._active_position = position
        self._accepted_at = {
            accepted: since
            for accepted, since in self._accepted_at.items()
            if accepted > position
        }

    def record_summary(self, summary: RegisterSummary) -> None:
        """Record the latest node counts of a control instance."""
        self._summaries[summary.control] = _ReceivedSummary(
            summary, self._clock.monotonic()
        )

    def maybe_propose(self) -> int | None:
        """Return the position to activate now, or ``None``.

        A proposal that is not committed may have been lost, so it is
        returned again after ``PROPOSAL_RETRY_SECONDS``.
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
        """Return the time of the next deadline, or ``None``."""
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
        return self._most_staged(overdue)

    def _is_ready(self, position: int) -> bool:
        awaited = (name for name in self._controls if self._is_awaited(name))
        return all(self._is_ready_at(name, position) for name in awaited)

    def _is_ready_at(self, control: str, position: int) -> bool:
        received = self._summaries.get(control)
        if received is None:
            return False
        summary = received.summary
        return summary.count_ready(position) >= summary.live_nodes

    def _is_awaited(self, control: str) -> bool:
        received = self._summaries.get(control)
        heard_at = self._waiting_since
        if received is not None:
            heard_at = max(heard_at, received.received_at)
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

    def _most_staged(self, overdue: int) -> int:
        candidates = (
            position for position in self._accepted_at if position >= overdue
        )
        return max(
            candidates,
            key=lambda position: (self._count_ready(position), position),
        )

    def _count_ready(self, position: int) -> int:
        return sum(
            received.summary.count_ready(position)
            for received in self._summaries.values()
        )

"""What a control instance tells its nodes of rollouts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_rollout.messages import RolloutExposure
from rhubarbhollow_rollout.view import to_view

if TYPE_CHECKING:
    from rhubarbhollow_daemon.node_link import NodeLink
    from rhubarbhollow_daemon.release_machine import ReleaseMachine
    from rhubarbhollow_replication.replica import Replica
    from rhubarbhollow_wire.clock import Clock

MS_PER_SECOND: Final = 1000
# Stated by an instance that no quorum has confirmed; far above the time
# for which nodes rely on a confirmation.
UNCONFIRMED_AGE_MS: Final = 3_600_000


class RolloutFeed:
    """Send nodes the rollouts that changed and confirm the others.

    Nothing is sent while no rollout has been ordered.
    """

    def __init__(
        self, machine: ReleaseMachine, replica: Replica, clock: Clock
    ) -> None:
        self._machine = machine
        self._replica = replica
        self._clock = clock

    @property
    def revision(self) -> int:
        """Return a number that rises with each change of a rollout."""
        return self._machine.rollouts.revision

    def update(self, link: NodeLink) -> None:
        """Send what changed since the last message to the node."""
        if link.rollout_revision < self.revision:
            self._send(link, 0)

    def answer(self, link: NodeLink, sequence: int) -> None:
        """Answer a node's report, which confirms what it holds."""
        self._send(link, sequence)

    def _send(self, link: NodeLink, sequence: int) -> None:
        known = link.rollout_revision
        rollouts = self._machine.rollouts
        link.rollout_revision = rollouts.revision
        views = tuple(
            to_view(record)
            for record in rollouts.records.values()
            if record.revision > known
        )
        exposure = RolloutExposure(sequence, self._age_ms(), views)
        link.outbox.put(exposure)

    def _age_ms(self) -> int:
        """Return how long ago a quorum confirmed what is held here."""
        confirmed_at = self._replica.status.confirmed_at
        if confirmed_at is None:
            return UNCONFIRMED_AGE_MS
        age = self._clock.monotonic() - confirmed_at
        return min(UNCONFIRMED_AGE_MS, max(0, round(age * MS_PER_SECOND)))

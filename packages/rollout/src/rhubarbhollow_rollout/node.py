"""A node's part in the rollouts of all services."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_rollout.attempt import AttemptEnd
from rhubarbhollow_rollout.candidates import (
    Division,
    divide,
    is_outnumbered,
    oldest_version,
)
from rhubarbhollow_rollout.messages import RolloutReport
from rhubarbhollow_rollout.recorder import EvidenceRecorder
from rhubarbhollow_rollout.split import ExposureSplit
from rhubarbhollow_rollout.view import COMPLETED, RUNNING, is_usable

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from rhubarbhollow_rollout.candidates import Upstream
    from rhubarbhollow_rollout.messages import RolloutExposure, RolloutView
    from rhubarbhollow_wire.clock import Clock

# Reports that may still be answered.
MAX_PENDING_REPORTS: Final = 16
# A node learns of the upstreams one after the other, as after a loss of
# all power. For this time the version seen first is not settled.
SETTLE_SECONDS: Final = 10.0
# The first version of a service that has disappeared for this long is
# no longer the one in force.
FORGET_VERSION_SECONDS: Final = 30.0


class NodeRollouts:
    """Divide calls between versions and collect evidence.

    ``generation`` rises when divisions have to be made anew.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._splits: dict[str, ExposureSplit] = {}
        self._recorders: dict[str, EvidenceRecorder] = {}
        self._first_seen: dict[str, str] = {}
        self._settled_at: dict[str, float] = {}
        self._missing_since: dict[str, float] = {}
        self._sequence = 0
        self._sent_at: dict[int, float] = {}
        self.generation = 0

    @property
    def views(self) -> tuple[RolloutView, ...]:
        """Return the latest known view of each rollout."""
        return tuple(split.view for split in self._splits.values())

    @property
    def is_running(self) -> bool:
        """Return whether a rollout without an outcome is known."""
        return any(view.state == RUNNING for view in self.views)

    def is_confirmed(self, service: str) -> bool:
        """Return whether the view of a service may be relied on."""
        split = self._splits.get(service)
        return split is not None and split.is_confirmed(
            self._clock.monotonic()
        )

    def accept(self, message: RolloutExposure) -> tuple[RolloutView, ...]:
        """Apply a message; return the views that are news."""
        changed = tuple(
            view
            for view in message.rollouts
            if is_usable(view) and self._update(view)
        )
        sent_at = self._sent_at.pop(message.sequence, None)
        if sent_at is not None:
            confirmed_at = sent_at - max(0, message.age_ms) / 1000
            for split in self._splits.values():
                split.confirm(confirmed_at)
        if changed:
            self.generation += 1
        return changed

    def next_report(self) -> RolloutReport:
        """Return the evidence since the last report, to be sent now."""
        self._sequence += 1
        self._sent_at[self._sequence] = self._clock.monotonic()
        while len(self._sent_at) > MAX_PENDING_REPORTS:
            del self._sent_at[min(self._sent_at)]
        evidence = tuple(
            counts
            for recorder in self._recorders.values()
            for counts in recorder.take()
        )
        return RolloutReport(self._sequence, evidence)

    def divide(
        self, service: str, upstreams: Sequence[Upstream]
    ) -> Division | None:
        """Divide a service's upstreams that accept calls by version."""
        if not upstreams:
            return None
        split = self._splits.get(service)
        first_seen = self._note_versions(service, upstreams)
        view = None if split is None else split.view
        return divide(upstreams, view, first_seen)

    def take(self, service: str) -> bool:
        """Return whether the next call goes to the new version."""
        split = self._splits.get(service)
        return split is not None and split.take(self._clock.monotonic())

    def give_back(self, service: str) -> None:
        """Return the credit of a call that reached no new upstream."""
        split = self._splits.get(service)
        if split is not None:
            split.give_back()

    def observes(self, service: str) -> bool:
        """Return whether evidence about a service is collected."""
        return service in self._recorders

    def record(
        self,
        service: str,
        version: str,
        route: str,
        upstream: str,
        end: AttemptEnd,
        seconds: float,
        *,
        is_warm: bool,
    ) -> None:
        """Record the end of an attempt as evidence."""
        recorder = self._recorders.get(service)
        if recorder is None:
            return
        split = self._splits[service]
        is_new = version == split.view.new_version
        if is_new and end is AttemptEnd.TURNED_AWAY:
            split.give_back()
        elif not is_new and end in (AttemptEnd.ANSWERED, AttemptEnd.FAILED):
            split.earn()
        recorder.record(
            route,
            upstream,
            end,
            seconds,
            self._clock.monotonic(),
            is_new=is_new,
            is_warm=is_warm,
        )

    def _update(self, view: RolloutView) -> bool:
        split = self._splits.get(view.service)
        if split is None:
            self._splits[view.service] = ExposureSplit(view, self._random)
        elif not split.update(view):
            return False
        recorder = self._recorders.get(view.service)
        if view.state != RUNNING:
            self._recorders.pop(view.service, None)
        elif recorder is None or recorder.number != view.number:
            recorder = EvidenceRecorder(view.number)
            self._recorders[view.service] = recorder
        if view.state == COMPLETED:
            self._first_seen[view.service] = view.new_version
            self._settled_at[view.service] = float("-inf")
        return True

    def _note_versions(
        self, service: str, upstreams: Sequence[Upstream]
    ) -> str:
        """Return the version of the service that was seen first."""
        now = self._clock.monotonic()
        settled_at = self._settled_at.setdefault(service, now + SETTLE_SECONDS)
        first = self._first_seen.get(service)
        if first is None or (
            now < settled_at and is_outnumbered(upstreams, first)
        ):
            first = self._first_seen[service] = oldest_version(upstreams)
        if any(upstream.version == first for upstream in upstreams):
            self._missing_since.pop(service, None)
            return first
        since = self._missing_since.setdefault(service, now)
        if now >= since + FORGET_VERSION_SECONDS:
            del self._missing_since[service]
            first = self._first_seen[service] = oldest_version(upstreams)
        return first

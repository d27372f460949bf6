"""The rollouts of a node, in the terms of the call path."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import structlog

from rhubarbhollow_calls.call_result import CallResult
from rhubarbhollow_rollout.attempt import AttemptEnd
from rhubarbhollow_rollout.view import RUNNING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rhubarbhollow_calls.endpoint import Endpoint
    from rhubarbhollow_calls.upstream_selector import UpstreamSelector
    from rhubarbhollow_daemon.outbox import Outbox
    from rhubarbhollow_rollout.messages import RolloutExposure
    from rhubarbhollow_rollout.node import NodeRollouts
    from rhubarbhollow_wire.clock import Clock

# An upstream is up to twice as slow for 3 s after its start.
COLD_SECONDS: Final = 4.0

_ENDS: Final = {
    CallResult.ANSWERED: AttemptEnd.ANSWERED,
    CallResult.UPSTREAM_ERROR: AttemptEnd.FAILED,
    CallResult.BROKEN: AttemptEnd.BROKEN,
    CallResult.CANCELLED: AttemptEnd.CANCELLED,
    CallResult.BUSY: AttemptEnd.TURNED_AWAY,
    CallResult.REFUSED_NOT_RUN: AttemptEnd.OTHER,
    CallResult.UNREACHABLE: AttemptEnd.OTHER,
}

_log = structlog.get_logger()


class RolloutPolicy:
    """Apply rollouts to the choice of upstreams and report evidence."""

    def __init__(
        self,
        rollouts: NodeRollouts,
        upstreams: UpstreamSelector,
        outbox: Outbox,
        clock: Clock,
    ) -> None:
        self._rollouts = rollouts
        self._upstreams = upstreams
        self._outbox = outbox
        self._clock = clock

    @property
    def rollouts(self) -> NodeRollouts:
        """Return what this node knows of rollouts."""
        return self._rollouts

    def accept(self, message: RolloutExposure) -> None:
        """Apply a message of the control instance."""
        changed = self._rollouts.accept(message)
        for view in changed:
            _log.info(
                "rollout_view_changed",
                service=view.service,
                new_version=view.new_version,
                state=view.state,
                share_permille=view.share_permille,
                step=view.step,
            )
        if not changed:
            return
        self._upstreams.refresh_versions()
        if any(view.state == RUNNING for view in changed):
            # Only the answer to a report confirms what was sent.
            self.report()

    def report(self) -> None:
        """Report the evidence, if a rollout is running."""
        if self._rollouts.is_running:
            self._outbox.put(self._rollouts.next_report())

    def divide(
        self, service: str, endpoints: Sequence[Endpoint]
    ) -> tuple[frozenset[str], frozenset[str]] | None:
        """Return the stable and the new endpoints that get calls."""
        division = self._rollouts.divide(service, endpoints)
        return None if division is None else (division.stable, division.new)

    def take(self, service: str) -> bool:
        """Return whether the next call goes to the new version."""
        return self._rollouts.take(service)

    def give_back(self, service: str) -> None:
        """Return a call that no new endpoint could be chosen for."""
        self._rollouts.give_back(service)

    def record(
        self,
        endpoint: Endpoint,
        route: str,
        result: CallResult,
        seconds: float,
    ) -> None:
        """Record the end of an attempt as evidence."""
        if not self._rollouts.observes(endpoint.service):
            return
        warm_at = endpoint.joined_at + COLD_SECONDS
        self._rollouts.record(
            endpoint.service,
            endpoint.version,
            route,
            endpoint.name,
            _ENDS[result],
            seconds,
            is_warm=self._clock.monotonic() >= warm_at,
        )

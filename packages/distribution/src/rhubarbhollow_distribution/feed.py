"""Scheduling of the messages that one connected node is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_distribution.activate import Activate
from rhubarbhollow_distribution.active_report import ActiveReport
from rhubarbhollow_distribution.control_heartbeat import ControlHeartbeat
from rhubarbhollow_distribution.endpoint_feed import NEVER, EndpointFeed
from rhubarbhollow_distribution.holder import MAX_STAGED_RELEASES
from rhubarbhollow_distribution.local_source import LocalSource
from rhubarbhollow_distribution.node_heartbeat import NodeHeartbeat
from rhubarbhollow_distribution.stage_request import StageRequest
from rhubarbhollow_distribution.staged_report import StagedReport
from rhubarbhollow_distribution.start_rule import StartRule
from rhubarbhollow_release.difference import EMPTY_DIGEST

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from rhubarbhollow_distribution.control_message import ControlMessage
    from rhubarbhollow_distribution.endpoint_store import EndpointStore
    from rhubarbhollow_distribution.feed_settings import FeedSettings
    from rhubarbhollow_distribution.hello import Hello
    from rhubarbhollow_distribution.ledger_view import LedgerView
    from rhubarbhollow_distribution.node_message import NodeMessage
    from rhubarbhollow_distribution.release_source import ReleaseSource
    from rhubarbhollow_distribution.stage import Stage
    from rhubarbhollow_wire.clock import Clock

START_POLL_SECONDS: Final = 0.05
# How long a node without a release has to go to an instance of its own
# data centre, before it gets a whole release from another one.  A node
# tries a local instance within 0.1 s once it knows one; when hundreds
# of nodes start at once, that instance may take a second to welcome it.
LOCAL_START_SECONDS: Final[Mapping[LocalSource, float]] = {
    LocalSource.NONE: 0.0,
    LocalSource.KNOWN: 0.5,
    LocalSource.REACHABLE: 2.0,
}


class NodeFeed:
    """Choose the next message for one connected node.

    Activation has priority over staging, and staging over endpoint
    changes.  A heartbeat is sent if the connection is idle or the
    freshness of this instance changed.  At most one stage message is
    outstanding; it carries a single net difference from the content
    that the node holds to the latest release.

    ``local_source`` tells what is known of the instances in the data
    centre of a node from elsewhere; a whole release is held back for
    ``LOCAL_START_SECONDS`` accordingly.
    """

    def __init__(
        self,
        hello: Hello,
        *,
        data_centre: str,
        settings: FeedSettings,
        releases: ReleaseSource,
        endpoints: EndpointStore,
        clock: Clock,
        local_source: Callable[[], LocalSource] = lambda: LocalSource.NONE,
    ) -> None:
        self._settings = settings
        self._releases = releases
        self._endpoints = EndpointFeed(hello, endpoints, settings, clock)
        self._clock = clock
        now = clock.monotonic()
        self._has_release = hello.active_position > 0
        self._local_source = local_source
        self._hello_at = now
        is_own_data_centre = hello.data_centre == data_centre
        self._is_local_start_better = (
            not self._has_release and not is_own_data_centre
        )
        self._start_rule = StartRule(
            is_own_data_centre=is_own_data_centre,
            hello_at=now,
        )
        self._start_position: int | None = None
        self._active_position = hello.active_position
        self._active_digest = hello.active_digest
        self._staged: dict[int, bytes] = {}
        self._requested_base: bytes | None = None
        self._outstanding: int | None = None
        self._stage_sent_at = NEVER
        self._activate_sent = 0
        self._sent_at = now
        # A node assumes that its source is fresh until a heartbeat
        # reports otherwise.
        self._reported_fresh = True
        self._add_reported_staged(hello.staged_position)

    @property
    def active_position(self) -> int:
        """Return the position that the node reported as in force."""
        return self._active_position

    @property
    def is_waiting_to_start(self) -> bool:
        """Return whether the node has no release and must wait."""
        return not self._has_release and self._start_position is None

    def accept(self, message: NodeMessage) -> None:
        """Update the known state of the node from its message."""
        match message:
            case StagedReport(position=position, digest=digest):
                self._note_staged(position, digest)
            case ActiveReport(position=position):
                self._raise_active(position)
            case NodeHeartbeat(
                active_position=active,
                staged_position=staged,
            ):
                self._raise_active(active)
                self._add_reported_staged(staged)
            case StageRequest():
                self._restart_from(message)
            case _:
                pass

    def next_message(self, ledger: LedgerView) -> ControlMessage | None:
        """Return the next message to send now, or ``None``."""
        message = (
            self._maybe_activate(ledger)
            or self._maybe_stage(ledger)
            or self._endpoints.next_change()
            or self._maybe_heartbeat(ledger)
        )
        if message is not None:
            self._sent_at = self._clock.monotonic()
        return message

    def next_due(self) -> float:
        """Return when ``next_message`` must be called at the latest.

        An event, such as a message, may require an earlier call.
        """
        now = self._clock.monotonic()
        heartbeat_at = self._sent_at + self._settings.heartbeat_seconds
        times = [
            self._stage_sent_at + self._settings.stage_timeout_seconds,
            self._stage_ready_at(),
        ]
        if self._may_start_locally(now):
            times.append(now + START_POLL_SECONDS)
        endpoints_at = self._endpoints.next_due()
        if endpoints_at is not None:
            times.append(endpoints_at)
        if self.is_waiting_to_start:
            times.append(now + START_POLL_SECONDS)
        return min([heartbeat_at, *(time for time in times if time > now)])

    def _maybe_activate(self, ledger: LedgerView) -> Activate | None:
        target = self._activation_target(ledger)
        if target <= max(self._active_position, self._activate_sent):
            return None
        digest = self._staged.get(target)
        # Another instance may have staged the release, so the recorded
        # floor of this instance may still be lower.
        if digest is None or target > ledger.recorded_floor:
            return None
        self._activate_sent = target
        return Activate(target, digest)

    def _activation_target(self, ledger: LedgerView) -> int:
        if self._has_release:
            return ledger.active_position
        if self._start_position is None:
            now = self._clock.monotonic()
            self._start_position = self._start_rule.maybe_start(ledger, now)
        if self._start_position is None:
            return 0
        return max(self._start_position, ledger.active_position)

    def _maybe_stage(self, ledger: LedgerView) -> Stage | None:
        target = self._stage_target(ledger)
        if target is None or self._must_wait():
            return None
        base = self._requested_base
        if base is None:
            base = self._held_digest()
        stage = self._releases.build_stage(target, base)
        self._requested_base = None
        self._outstanding = target
        self._stage_sent_at = self._clock.monotonic()
        return stage

    def _stage_target(self, ledger: LedgerView) -> int | None:
        needed = self._activation_target(ledger)
        if needed > self._active_position and needed not in self._staged:
            return needed if self._may_offer(ledger, needed) else None
        latest = min(ledger.latest_position, ledger.recorded_floor)
        held = max(self._staged, default=self._active_position)
        if latest <= held or len(self._staged) >= MAX_STAGED_RELEASES:
            return None
        # If the recorded floor is far behind, the release at that
        # position may have been removed from the ledger.
        return latest if self._may_offer(ledger, latest) else None

    def _may_offer(self, ledger: LedgerView, position: int) -> bool:
        return (
            position <= ledger.recorded_floor
            and self._releases.maybe_digest(position) is not None
        )

    def _must_wait(self) -> bool:
        now = self._clock.monotonic()
        if self._may_start_locally(now):
            return True
        if self._outstanding is not None:
            timeout = self._settings.stage_timeout_seconds
            return now < self._stage_sent_at + timeout
        return self._requested_base is None and now < self._stage_ready_at()

    def _may_start_locally(self, now: float) -> bool:
        """Return whether the node may still get its release nearby."""
        if not self._is_local_start_better:
            return False
        hold_seconds = LOCAL_START_SECONDS[self._local_source()]
        return now < self._hello_at + hold_seconds

    def _stage_ready_at(self) -> float:
        return self._stage_sent_at + self._settings.coalescing_seconds

    def _maybe_heartbeat(self, ledger: LedgerView) -> ControlHeartbeat | None:
        now = self._clock.monotonic()
        is_idle = now >= self._sent_at + self._settings.heartbeat_seconds
        if not is_idle and self._reported_fresh == ledger.is_fresh:
            return None
        self._reported_fresh = ledger.is_fresh
        return ControlHeartbeat(
            is_fresh=ledger.is_fresh,
            latest_position=ledger.latest_position,
            active_position=ledger.active_position,
        )

    def _held_digest(self) -> bytes:
        if self._staged:
            return self._staged[max(self._staged)]
        return self._active_digest

    def _restart_from(self, request: StageRequest) -> None:
        """Reset the known state to what the node says it holds."""
        self._outstanding = None
        self._activate_sent = 0
        self._requested_base = request.base_digest
        self._staged = {
            position: digest
            for position, digest in self._staged.items()
            if digest == request.base_digest
        }

    def _note_staged(self, position: int, digest: bytes) -> None:
        if self._outstanding == position:
            self._outstanding = None
        if position > self._active_position:
            self._staged[position] = digest

    def _add_reported_staged(self, position: int) -> None:
        if position <= self._active_position or position in self._staged:
            return
        digest = self._releases.maybe_digest(position)
        if digest is not None:
            self._note_staged(position, digest)

    def _raise_active(self, position: int) -> None:
        if position <= self._active_position:
            return
        self._has_release = True
        if self._outstanding is not None and self._outstanding <= position:
            # The node refuses it as stale and does not report it.
            self._outstanding = None
        digest = self._staged.get(position)
        if digest is None:
            digest = self._releases.maybe_digest(position) or EMPTY_DIGEST
        self._active_position = position
        self._active_digest = digest
        self._staged = {
            staged: held
            for staged, held in self._staged.items()
            if staged > position
        }

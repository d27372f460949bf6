"""A node's choice of the control instance that it is connected to."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_distribution.change_reason import ChangeReason
from rhubarbhollow_distribution.control_directory import is_completed_by
from rhubarbhollow_distribution.source_attempt import Attempt
from rhubarbhollow_distribution.source_candidate import (
    MAX_DOUBLINGS,
    SourceCandidate,
)
from rhubarbhollow_distribution.source_view import SourceView

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from rhubarbhollow_distribution.control_address import ControlAddress
    from rhubarbhollow_distribution.control_heartbeat import ControlHeartbeat
    from rhubarbhollow_wire.clock import Clock

BACKOFF_BASE_SECONDS: Final = 0.1
BACKOFF_CAP_SECONDS: Final = 10.0
SILENCE_SECONDS: Final = 3.0
NOT_FRESH_SECONDS: Final = 2.0
BEHIND_SECONDS: Final = 1.0
RETURN_SECONDS: Final = 60.0


class SourceChooser:
    """Choose a control instance, the local data centre's first.

    The node leaves a source that is silent, and looks for another one
    beside a source that is not fresh or that lags behind a position
    seen on calls.  It drops such a source only once another one has
    welcomed it, so an isolated data centre goes on being served.  A
    source that was left is a suspect for a while, and longer each time,
    so that the node does not go back and forth.
    """

    def __init__(
        self,
        local_data_centre: str,
        controls: tuple[ControlAddress, ...],
        clock: Clock,
        random: random.Random,
        silence_seconds: float = SILENCE_SECONDS,
        return_seconds: float = RETURN_SECONDS,
        backoff_cap_seconds: float = BACKOFF_CAP_SECONDS,
    ) -> None:
        if not controls:
            raise ValueError("a node needs the address of a control instance")
        self._clock = clock
        self._random = random
        self._silence_seconds = silence_seconds
        self._return_seconds = return_seconds
        self._backoff_cap_seconds = backoff_cap_seconds
        self._local_data_centre = local_data_centre
        self._candidates: dict[str, SourceCandidate] = {}
        self.learn(controls)
        self._current: SourceCandidate | None = None
        self._failures = 0
        self._heard_at = 0.0
        self._connected_at = 0.0
        self._stale_since: float | None = None
        self._behind_since: float | None = None
        self._observed_position = 0
        self._source_position = 0
        self._alternative_at = 0.0

    @property
    def current(self) -> ControlAddress | None:
        """Return the address of the source, or none."""
        return self._current.address if self._current else None

    @property
    def is_silent(self) -> bool:
        """Tell whether the source must be given up as dead."""
        elapsed = self._clock.monotonic() - self._heard_at
        return self._current is not None and elapsed >= self._silence_seconds

    def learn(self, addresses: Iterable[ControlAddress]) -> None:
        """Take over control instances, or their data centres."""
        for address in addresses:
            known = self._candidates.get(address.name)
            if known is not None and not is_completed_by(
                known.address, address
            ):
                continue
            # Nodes of one data centre spread over its instances by
            # chance.
            is_remote = address.data_centre != self._local_data_centre
            rank = self._random.random() + is_remote
            if known is None:
                candidate = SourceCandidate(address, rank)
                self._candidates[address.name] = candidate
            else:
                known.address, known.rank = address, rank

    def next_attempt(self) -> Attempt:
        """Return whom to connect to, and when, without a source.

        The delay is drawn from zero to an exponentially rising limit
        (full jitter), so that herds spread out.
        """
        now = self._clock.monotonic()
        chosen = _prefer(self._candidates.values(), now)
        delay = self._draw_delay(self._failures)
        delay = max(delay, chosen.not_before - now)
        return Attempt(chosen.address, delay, ChangeReason.DISCONNECTED)

    def maybe_alternative(self) -> Attempt | None:
        """Return whom to try beside the present source, or none.

        The present source stays connected until the other one has sent
        its welcome.
        """
        reason = self._find_dissatisfaction()
        if reason is None or self._current is None:
            return None
        now = self._clock.monotonic()
        if now < self._alternative_at:
            return None
        others = [
            candidate
            for candidate in self._candidates.values()
            if self._may_replace(candidate, reason)
        ]
        if not others:
            return None
        chosen = _prefer(others, now)
        self._alternative_at = now + self._draw_delay(chosen.failures)
        return Attempt(
            chosen.address,
            self._random.uniform(0.0, BACKOFF_BASE_SECONDS),
            reason,
        )

    def note_connected(self, address: ControlAddress) -> None:
        """Note that ``address`` has welcomed the node."""
        now = self._clock.monotonic()
        reason = self._find_dissatisfaction()
        left = self._current
        if left is not None and left.address != address:
            self._suspect(left, reason)
        candidate = self._candidates[address.name]
        candidate.note_welcome()
        self._current = candidate
        self._failures = 0
        self._heard_at = now
        self._connected_at = now
        self._stale_since = None
        self._behind_since = None
        self._source_position = 0
        self._alternative_at = 0.0

    def note_failed(
        self,
        address: ControlAddress,
        retry_after_seconds: float = 0.0,
    ) -> None:
        """Note a failed attempt, or a redirect with its delay."""
        candidate = self._candidates[address.name]
        delay = self._draw_delay(candidate.failures)
        now = self._clock.monotonic()
        candidate.note_failure(now + max(delay, retry_after_seconds))
        if self._current is None:
            self._failures += 1

    def note_lost(self) -> None:
        """Note that the connection to the source ended."""
        lost = self._current
        self._current = None
        if lost is not None:
            self.note_failed(lost.address)

    def note_message(self) -> None:
        """Note any message from the source."""
        self._heard_at = self._clock.monotonic()

    def note_heartbeat(self, heartbeat: ControlHeartbeat) -> None:
        """Take over what the source says of its own state."""
        now = self._clock.monotonic()
        self._heard_at = now
        if heartbeat.is_fresh:
            self._stale_since = None
            self._forgive()
        elif self._stale_since is None:
            self._stale_since = now
        self.note_source_position(heartbeat.latest_position)

    def note_source_position(self, position: int) -> None:
        """Note a position that the source has offered."""
        self._source_position = max(self._source_position, position)
        self._compare_positions()

    def note_observed(self, position: int) -> None:
        """Note a position seen on a call or at a peer."""
        if position <= self._observed_position:
            return
        self._observed_position = position
        self._compare_positions()

    def explain(self) -> SourceView:
        """Summarise the choice, for operators."""
        now = self._clock.monotonic()
        reason = self._find_dissatisfaction()
        return SourceView(
            current=self._current.address.name if self._current else "",
            dissatisfaction=reason.name.lower() if reason else "",
            failed_attempts=self._failures,
            suspects=tuple(
                candidate.address.name
                for candidate in self._candidates.values()
                if candidate.suspect_until > now
            ),
        )

    def _find_dissatisfaction(self) -> ChangeReason | None:
        if self._current is None:
            return None
        now = self._clock.monotonic()
        if self.is_silent:
            return ChangeReason.SILENT
        if _has_lasted(self._stale_since, NOT_FRESH_SECONDS, now):
            return ChangeReason.NOT_FRESH
        if _has_lasted(self._behind_since, BEHIND_SECONDS, now):
            return ChangeReason.BEHIND
        is_settled = now >= self._connected_at + self._return_seconds
        if not self._current.is_local and is_settled:
            return ChangeReason.PREFERS_LOCAL
        return None

    def _may_replace(
        self,
        candidate: SourceCandidate,
        reason: ChangeReason,
    ) -> bool:
        now = self._clock.monotonic()
        if candidate is self._current or candidate.not_before > now:
            return False
        # A silent source is worse than any suspect.
        if reason is ChangeReason.SILENT:
            return True
        if reason is ChangeReason.PREFERS_LOCAL and not candidate.is_local:
            return False
        return candidate.suspect_until <= now

    def _suspect(
        self,
        left: SourceCandidate,
        reason: ChangeReason | None,
    ) -> None:
        if reason in (None, ChangeReason.PREFERS_LOCAL):
            return
        jitter = self._random.uniform(1.0, 1.5)
        left.suspect(self._clock.monotonic(), jitter)

    def _forgive(self) -> None:
        current = self._current
        if current is None:
            return
        if (
            self._clock.monotonic()
            >= self._connected_at + self._return_seconds
        ):
            current.suspicions = 0

    def _compare_positions(self) -> None:
        if self._source_position >= self._observed_position:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = self._clock.monotonic()

    def _draw_delay(self, failures: int) -> float:
        doubled = BACKOFF_BASE_SECONDS * 2.0 ** min(failures, MAX_DOUBLINGS)
        return self._random.uniform(
            0.0, min(self._backoff_cap_seconds, doubled)
        )


def _prefer(
    candidates: Iterable[SourceCandidate],
    now: float,
) -> SourceCandidate:
    return min(candidates, key=lambda candidate: candidate.preference(now))


def _has_lasted(since: float | None, seconds: float, now: float) -> bool:
    return since is not None and now >= since + seconds

"""Selection of the control instance that a node connects to."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_distribution.change_reason import ChangeReason
from rhubarbhollow_distribution.control_directory import adds_data_centre
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
# How long a source may be silent, not fresh, or behind before the node
# looks for another one.
SILENCE_SECONDS: Final = 3.0
# Of the three heartbeats that the silence timeout lasts, 1.25: above
# the interval between two, and below the staging deadline (1.25 s and
# 2 s by default, 0.5 s and 0.6 s on the users' platform).
CURRENT_SHARE: Final = 1.25 / 3
NOT_FRESH_SECONDS: Final = 2.0
BEHIND_SECONDS: Final = 1.0
# How long the node stays with a remote source before it tries a local
# one again.
RETURN_SECONDS: Final = 60.0
# First suspicion as a multiple of the return delay. Longer than a local
# instance usually takes to restart and rejoin the log.
SUSPICION_RATIO: Final = 0.5


class SourceChooser:
    """Choose a control instance, preferring the local data centre.

    The connected control instance is the node's source.  The node
    disconnects from a silent source.  If the source is not fresh, or
    behind a position seen on calls, the node looks for another one, but
    keeps the connection until another instance has welcomed it, so that
    an isolated data centre is still served.  A source that was replaced
    for such a reason is suspected, that is, avoided for a time that
    doubles with each replacement, so that the node does not alternate
    between instances.

    A local instance that replaced a fresh remote one, or any that was
    not fresh, is on trial until it reports that it is fresh; if it is
    not, the node leaves it at once.
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
            raise ValueError(
                "expected at least one control instance address, got none"
            )
        self._clock = clock
        self._random = random
        self._silence_seconds = silence_seconds
        self._return_seconds = return_seconds
        self._backoff_cap_seconds = backoff_cap_seconds
        self._local_data_centre = local_data_centre
        self._candidates: dict[str, SourceCandidate] = {}
        self._return_at = 0.0
        self.learn(controls)
        self._current: SourceCandidate | None = None
        self._failures = 0
        self._heard_at = 0.0
        self._connected_at = 0.0
        self._stale_since: float | None = None
        self._fresh_at: float | None = None
        self._behind_since: float | None = None
        self._observed_position = 0
        self._source_position = 0
        # The highest position that any source has named.
        self._named_position = 0
        self._alternative_at = 0.0
        self._is_on_trial = False

    @property
    def current(self) -> ControlAddress | None:
        """Return the address of the source, or ``None``."""
        return self._current.address if self._current else None

    @property
    def is_silent(self) -> bool:
        """Return whether the source exceeded the silence timeout."""
        elapsed = self._clock.monotonic() - self._heard_at
        return self._current is not None and elapsed >= self._silence_seconds

    def is_confirmed(self, position: int) -> bool:
        """Return whether ``position`` is known to be the latest one.

        That holds if a source was heard within the silence timeout and
        has not reported that it isn't fresh, and no source and no call
        from another node has named a later position.
        """
        return self._is_latest(position, self._silence_seconds)

    def is_current(self, position: int) -> bool:
        """Return whether no later position can be in force elsewhere.

        A source names a release to its nodes before it is activated,
        and activation waits for the staging deadline if a node that was
        connected lately has not answered. So that deadline, and not the
        silence timeout, bounds how long a node that has just been cut
        off may be sure.
        """
        return self._is_latest(position, self._silence_seconds * CURRENT_SHARE)

    def _is_latest(self, position: int, max_age_seconds: float) -> bool:
        if self._fresh_at is None:
            return False
        if self._clock.monotonic() - self._fresh_at >= max_age_seconds:
            return False
        return max(self._named_position, self._observed_position) <= position

    def learn(self, addresses: Iterable[ControlAddress]) -> None:
        """Add control instances, or data centres of known ones."""
        for address in addresses:
            known = self._candidates.get(address.name)
            if known is not None and not adds_data_centre(
                known.address, address
            ):
                continue
            # The random rank spreads the nodes of a data centre over
            # its instances.
            is_remote = address.data_centre != self._local_data_centre
            rank = self._random.random() + is_remote
            if known is None:
                candidate = SourceCandidate(address, rank)
                self._candidates[address.name] = candidate
            else:
                known.address, known.rank = address, rank
            if not is_remote:
                self._return_soon()

    def next_attempt(self) -> Attempt:
        """Return the next attempt of a node without a source.

        The delay is drawn uniformly from zero to an exponentially
        increasing limit (full jitter), so that many nodes do not
        reconnect at the same time.
        """
        now = self._clock.monotonic()
        chosen = _select_candidate(self._candidates.values(), now)
        delay = self._draw_delay(self._failures)
        delay = max(delay, chosen.not_before - now)
        return Attempt(chosen.address, delay, ChangeReason.DISCONNECTED)

    def maybe_alternative(self) -> Attempt | None:
        """Return an attempt to replace the source, or ``None``.

        The current source stays connected until the other instance has
        sent its welcome.
        """
        reason = self._find_change_reason()
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
        chosen = _select_candidate(others, now)
        self._alternative_at = now + self._draw_delay(chosen.failures)
        return Attempt(
            chosen.address,
            self._random.uniform(0.0, BACKOFF_BASE_SECONDS),
            reason,
        )

    def note_connected(self, address: ControlAddress) -> None:
        """Record that ``address`` has welcomed the node."""
        now = self._clock.monotonic()
        reason = self._find_change_reason()
        previous = self._current
        if previous is not None and previous.address != address:
            self._suspect(previous, reason)
        candidate = self._candidates[address.name]
        candidate.note_welcome()
        self._is_on_trial = self._begins_trial(candidate, reason)
        self._current = candidate
        self._failures = 0
        self._heard_at = now
        self._connected_at = now
        self._return_at = now + self._return_seconds
        self._stale_since = None
        self._behind_since = None
        self._source_position = 0
        self._alternative_at = 0.0

    def note_failed(
        self,
        address: ControlAddress,
        retry_after_seconds: float = 0.0,
    ) -> None:
        """Record a failed attempt, or a redirect with its delay."""
        candidate = self._candidates[address.name]
        delay = self._draw_delay(candidate.failures)
        now = self._clock.monotonic()
        candidate.note_failure(now + max(delay, retry_after_seconds))
        if self._current is None:
            self._failures += 1

    def note_lost(self) -> None:
        """Record that the connection to the source was closed."""
        lost = self._current
        self._current = None
        if lost is not None:
            self.note_failed(lost.address)

    def note_message(self) -> None:
        """Record the time of a message from the source.

        A source reports at once that it is no longer fresh, and sends
        no heartbeat while it has other messages to send.
        """
        self._heard_at = self._clock.monotonic()
        if self._stale_since is None:
            self._fresh_at = self._heard_at

    def note_heartbeat(self, heartbeat: ControlHeartbeat) -> None:
        """Record the freshness and position reported by the source."""
        now = self._clock.monotonic()
        self._heard_at = now
        if heartbeat.is_fresh:
            self._fresh_at = now
            self._stale_since = None
            self._is_on_trial = False
            self._reset_suspicions()
        else:
            self._fresh_at = None
            if self._stale_since is None:
                self._stale_since = now
        self.note_source_position(heartbeat.latest_position)

    def note_source_position(self, position: int) -> None:
        """Record a position that the source has offered."""
        self._named_position = max(self._named_position, position)
        self._source_position = max(self._source_position, position)
        self._compare_positions()

    def note_observed(self, position: int) -> None:
        """Record a position seen on a call or reported by a peer."""
        if position <= self._observed_position:
            return
        self._observed_position = position
        self._compare_positions()

    def explain(self) -> SourceView:
        """Return a summary of the choice for operators."""
        now = self._clock.monotonic()
        reason = self._find_change_reason()
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

    def _find_change_reason(self) -> ChangeReason | None:
        if self._current is None:
            return None
        now = self._clock.monotonic()
        if self.is_silent:
            return ChangeReason.SILENT
        patience = 0.0 if self._is_on_trial else NOT_FRESH_SECONDS
        if _has_lasted(self._stale_since, patience, now):
            return ChangeReason.NOT_FRESH
        if _has_lasted(self._behind_since, BEHIND_SECONDS, now):
            return ChangeReason.BEHIND
        if not self._current.is_local and now >= self._return_at:
            return ChangeReason.PREFERS_LOCAL
        return None

    def _begins_trial(
        self,
        candidate: SourceCandidate,
        reason: ChangeReason | None,
    ) -> bool:
        """Return whether the new source is on trial."""
        if reason is ChangeReason.NOT_FRESH:
            # The whole data centre may be cut off from the quorum.
            return candidate.is_local
        return (
            reason is ChangeReason.PREFERS_LOCAL and self._stale_since is None
        )

    def _return_soon(self) -> None:
        """Try a local instance that has just become known.

        A node knows only seeds when it starts, and what a remote source
        sends it meanwhile crosses data centres.
        """
        delay = self._random.uniform(0.0, BACKOFF_BASE_SECONDS)
        now = self._clock.monotonic()
        self._return_at = min(self._return_at, now + delay)

    def _may_replace(
        self,
        candidate: SourceCandidate,
        reason: ChangeReason,
    ) -> bool:
        now = self._clock.monotonic()
        if candidate is self._current or candidate.not_before > now:
            return False
        # Any instance, even a suspected one, is better than a silent
        # source.
        if reason is ChangeReason.SILENT:
            return True
        if reason is ChangeReason.PREFERS_LOCAL and not candidate.is_local:
            return False
        return candidate.suspect_until <= now

    def _suspect(
        self,
        previous: SourceCandidate,
        reason: ChangeReason | None,
    ) -> None:
        if reason in (None, ChangeReason.PREFERS_LOCAL):
            return
        jitter = self._random.uniform(1.0, 1.5)
        previous.suspect(
            self._clock.monotonic(),
            SUSPICION_RATIO * self._return_seconds,
            jitter,
        )

    def _reset_suspicions(self) -> None:
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


def _select_candidate(
    candidates: Iterable[SourceCandidate],
    now: float,
) -> SourceCandidate:
    return min(candidates, key=lambda candidate: candidate.preference(now))


def _has_lasted(since: float | None, seconds: float, now: float) -> bool:
    return since is not None and now >= since + seconds

"""Quarantine of requests that crash the upstreams that run them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.quarantine_message import (
    CrashReport,
    Exoneration,
    QuarantineMessage,
)
from rhubarbhollow_calls.quarantine_verdict import (
    DeferredSuspect,
    MayRun,
    Quarantined,
    QuarantineVerdict,
)

if TYPE_CHECKING:
    from rhubarbhollow_wire.clock import Clock

CRASHES_TO_QUARANTINE: Final = 2
BASE_QUARANTINE_SECONDS: Final = 60.0
QUARANTINE_GROWTH_FACTOR: Final = 4.0
MAX_QUARANTINE_SECONDS: Final = 3600.0
# Crashes and exonerations older than this are discarded.
CRASH_RETENTION_SECONDS: Final = 2 * MAX_QUARANTINE_SECONDS
# A message with a time further in the future comes from a wrong clock
# and is ignored.
MAX_SKEW_SECONDS: Final = 60.0
MAX_SUSPECTS: Final = 4096

_DEFERRED: Final = DeferredSuspect()


@dataclass(frozen=True, slots=True, order=True)
class _Crash:
    upstream: str
    incarnation: int


@dataclass(slots=True)
class _Suspect:
    """Hold the crashes and exonerations of one request.

    Merging only adds crashes and keeps the earliest time of each, so
    that it is commutative and idempotent.
    """

    crashes: dict[_Crash, float] = field(default_factory=dict)
    cleared: dict[_Crash, float] = field(default_factory=dict)

    @property
    def open_crashes(self) -> dict[_Crash, float]:
        return {
            crash: at
            for crash, at in self.crashes.items()
            if crash not in self.cleared
        }

    @property
    def is_suspected(self) -> bool:
        return any(crash not in self.cleared for crash in self.crashes)

    def forget(self, oldest: float) -> None:
        self.crashes = _not_older(oldest, self.crashes)
        self.cleared = _not_older(oldest, self.cleared)


class Quarantine:
    """Decide which requests may run on the upstream beside this node.

    A request that is in flight when the upstream crashes becomes a
    suspect. A suspect that completes is cleared of the crashes known at
    that time. A suspect runs only while no other suspect runs on this
    upstream, so that a second crash identifies one of them. Two crashes
    that are not cleared quarantine the request, for a time that grows
    with each further crash.
    """

    def __init__(self, clock: Clock, max_suspects: int = MAX_SUSPECTS) -> None:
        self._clock = clock
        self._max_suspects = max_suspects
        self._suspects: dict[bytes, _Suspect] = {}
        self._in_flight: dict[bytes, int] = {}
        self._may_run = MayRun(0)

    @property
    def epoch(self) -> int:
        """Return the number of crashes of this node's upstream."""
        return self._may_run.epoch

    def verdict(self, fingerprint: bytes) -> QuarantineVerdict:
        """Return the verdict on a request without starting it.

        Any node may call it, also one that will forward the request.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.is_suspected:
            return self._may_run
        return self._maybe_quarantined(suspect) or self._may_run

    def is_suspected(self, fingerprint: bytes) -> bool:
        """Return whether a crash counts against the request."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.is_suspected

    def try_start(self, fingerprint: bytes) -> QuarantineVerdict:
        """Return the verdict; if it may run, count it as in flight."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.is_suspected:
            quarantined = self._maybe_quarantined(suspect)
            if quarantined is not None:
                return quarantined
            if self._has_suspect_in_flight():
                return _DEFERRED
        count = self._in_flight.get(fingerprint, 0)
        self._in_flight[fingerprint] = count + 1
        return self._may_run

    def completed(
        self, fingerprint: bytes, epoch: int
    ) -> tuple[Exoneration, ...]:
        """Record a complete response; return messages for others."""
        self.abandoned(fingerprint, epoch)
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.is_suspected:
            return ()
        if epoch != self._may_run.epoch:
            return ()
        open_crashes = suspect.open_crashes
        suspect.cleared.update(open_crashes)
        return tuple(
            Exoneration(fingerprint, crash.upstream, crash.incarnation, at)
            for crash, at in sorted(open_crashes.items())
        )

    def abandoned(self, fingerprint: bytes, epoch: int) -> None:
        """Record an end that is no evidence, such as a cancellation."""
        if epoch != self._may_run.epoch:
            return
        count = self._in_flight.get(fingerprint, 0)
        if count > 1:
            self._in_flight[fingerprint] = count - 1
        else:
            self._in_flight.pop(fingerprint, None)

    def crashed(
        self, upstream: str, incarnation: int
    ) -> tuple[CrashReport, ...]:
        """Suspect all requests in flight; return messages for others.

        A new epoch begins. Ends of calls that the crash interrupted are
        ignored, even if the same request has been started again.
        """
        at = self._clock.utc().timestamp()
        reports = tuple(
            CrashReport(fingerprint, upstream, incarnation, at)
            for fingerprint in self._in_flight
        )
        self._in_flight.clear()
        self._may_run = MayRun(self._may_run.epoch + 1)
        for report in reports:
            self.merge(report)
        return reports

    def merge(self, message: QuarantineMessage) -> bool:
        """Apply a message; return whether it changed the state.

        Messages may be repeated and may arrive in any order.
        """
        age = self._clock.utc().timestamp() - message.at
        if not -MAX_SKEW_SECONDS <= age <= CRASH_RETENTION_SECONDS:
            return False
        suspect = self._suspects.get(message.fingerprint)
        if suspect is None:
            suspect = self._suspects[message.fingerprint] = _Suspect()
            self._evict()
        crash = _Crash(message.upstream, message.incarnation)
        match message:
            case CrashReport():
                known = suspect.crashes
            case Exoneration():
                known = suspect.cleared
        is_new = message.at < known.get(crash, math.inf)
        if is_new:
            known[crash] = message.at
        return is_new

    def messages(self) -> tuple[QuarantineMessage, ...]:
        """Return the whole state as messages, for another node."""
        return tuple(
            kind(fingerprint, crash.upstream, crash.incarnation, at)
            for fingerprint, suspect in self._suspects.items()
            for kind, crashes in (
                (CrashReport, suspect.crashes),
                (Exoneration, suspect.cleared),
            )
            for crash, at in sorted(crashes.items())
        )

    def forget_old(self) -> None:
        """Discard entries older than ``CRASH_RETENTION_SECONDS``.

        It has to be called periodically.
        """
        oldest = self._clock.utc().timestamp() - CRASH_RETENTION_SECONDS
        for fingerprint, suspect in list(self._suspects.items()):
            suspect.forget(oldest)
            if not suspect.crashes and not suspect.cleared:
                del self._suspects[fingerprint]

    def _maybe_quarantined(self, suspect: _Suspect) -> Quarantined | None:
        open_crashes = suspect.open_crashes
        if len(open_crashes) < CRASHES_TO_QUARANTINE:
            return None
        growth = QUARANTINE_GROWTH_FACTOR ** (
            len(open_crashes) - CRASHES_TO_QUARANTINE
        )
        seconds = min(MAX_QUARANTINE_SECONDS, BASE_QUARANTINE_SECONDS * growth)
        until = max(open_crashes.values()) + seconds
        remaining = until - self._clock.utc().timestamp()
        if remaining <= 0:
            return None
        return Quarantined(len(open_crashes), remaining)

    def _has_suspect_in_flight(self) -> bool:
        return any(
            fingerprint in self._suspects
            and self._suspects[fingerprint].is_suspected
            for fingerprint in self._in_flight
        )

    def _evict(self) -> None:
        """Drop one suspect if there are more than the limit."""
        if len(self._suspects) <= self._max_suspects:
            return
        # The oldest suspect among those with the fewest crashes is the
        # least likely cause. The newest one was just added.
        newest = next(reversed(self._suspects))
        evicted = min(
            (f for f in self._suspects if f != newest),
            key=lambda f: len(self._suspects[f].open_crashes),
        )
        del self._suspects[evicted]


def _not_older(
    oldest: float, times: dict[_Crash, float]
) -> dict[_Crash, float]:
    return {crash: at for crash, at in times.items() if at >= oldest}

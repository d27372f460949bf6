"""Rate-limited admission of nodes that connect simultaneously."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from rhubarbhollow_distribution.redirect import Redirect, RedirectReason

if TYPE_CHECKING:
    import random

    from rhubarbhollow_wire.clock import Clock

MILLISECONDS_PER_SECOND: Final = 1000


@dataclass(frozen=True, slots=True)
class Admitted:
    """The node is admitted immediately."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The node waits behind ``ahead`` other nodes."""

    ahead: int


class AdmissionQueue:
    """Admit nodes through a token bucket, in order of arrival.

    ``rate`` is in nodes per second, and ``burst`` is the number that
    may be admitted at once after an idle period.  While ``limit`` nodes
    are waiting, further nodes are redirected.  Their retry delay is at
    least the time to drain the queue, with jitter so that they do not
    reconnect all at once.
    """

    def __init__(
        self,
        *,
        rate: float,
        burst: int,
        limit: int,
        clock: Clock,
        random: random.Random,
    ) -> None:
        self._rate = rate
        self._burst = burst
        self._limit = limit
        self._clock = clock
        self._random = random
        self._tokens = float(burst)
        self._filled_at = clock.monotonic()
        self._waiting: OrderedDict[str, None] = OrderedDict()

    @property
    def waiting_count(self) -> int:
        """Return the number of queued nodes."""
        return len(self._waiting)

    def offer(self, node: str) -> Admitted | Queued | Redirect:
        """Admit, queue or redirect a node that has just connected."""
        self._refill()
        if node in self._waiting:
            return Queued(list(self._waiting).index(node))
        if not self._waiting and self._take_token():
            return Admitted()
        if len(self._waiting) >= self._limit:
            return self._redirect()
        self._waiting[node] = None
        return Queued(len(self._waiting) - 1)

    def admit_due(self) -> tuple[str, ...]:
        """Dequeue and return the nodes that may be admitted now."""
        self._refill()
        due: list[str] = []
        while self._waiting and self._take_token():
            node, _ = self._waiting.popitem(last=False)
            due.append(node)
        return tuple(due)

    def withdraw(self, node: str) -> None:
        """Remove a queued node whose connection was closed."""
        self._waiting.pop(node, None)

    def next_due(self) -> float | None:
        """Return when the next node may be admitted, or ``None``."""
        if not self._waiting:
            return None
        missing = max(0.0, 1.0 - self._tokens)
        return self._filled_at + missing / self._rate

    def _refill(self) -> None:
        now = self._clock.monotonic()
        gained = (now - self._filled_at) * self._rate
        self._tokens = min(float(self._burst), self._tokens + gained)
        self._filled_at = now

    def _take_token(self) -> bool:
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _redirect(self) -> Redirect:
        drain_seconds = len(self._waiting) / self._rate
        wait_seconds = drain_seconds * self._random.uniform(1.0, 2.0)
        return Redirect(
            int(RedirectReason.BUSY),
            int(wait_seconds * MILLISECONDS_PER_SECOND),
        )

"""The time after which a refused caller should come back.

The loads that this answers: a service that is asked for more than its
slots, where a caller should return while a response can still meet its
objective; and a node or service that is just starting, or a node that
waits for a release, where a caller that returns at once is refused
again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.refusal import RefusalKind

if TYPE_CHECKING:
    from random import Random

# A busy upstream releases a slot about every 20 ms; after four such
# periods one is likely to be free.
BUSY_SECONDS: Final = 0.08
# Share of the latency objective that a caller of a busy service waits
# at most: what is left has to cover a queue and the service time.
BUSY_OBJECTIVE_SHARE: Final = 0.125
# Share of the time left that a caller waits for a service that is
# starting. Two more such waits fit before its deadline.
STARTING_TIME_SHARE: Final = 1 / 3
# Share by which a delay is shortened or prolonged at random, so that
# callers refused together return apart.
JITTER_SHARE: Final = 0.5

_STARTING_KINDS: Final = frozenset(
    (
        # A node that is behind has caught up by then.
        RefusalKind.KEY_UNCONFIRMED,
        RefusalKind.KEY_WITHDRAWN,
        RefusalKind.NO_RELEASE,
        RefusalKind.NO_UPSTREAM,
        RefusalKind.QUOTA_UNCONFIRMED,
        RefusalKind.ROUTE_UNCONFIRMED,
    )
)


def return_delay(
    kind: RefusalKind,
    left_seconds: float,
    objective_seconds: float | None,
    random: Random,
) -> float:
    """Return the seconds for Retry-After.

    ``left_seconds`` is the time until the caller's deadline, or 0 if it
    is unknown.
    """
    jitter = 1 + JITTER_SHARE * (2 * random.random() - 1)
    if kind in _STARTING_KINDS and left_seconds > 0:
        return left_seconds * STARTING_TIME_SHARE * jitter
    if objective_seconds is None:
        return BUSY_SECONDS * jitter
    return min(BUSY_SECONDS, objective_seconds * BUSY_OBJECTIVE_SHARE) * jitter

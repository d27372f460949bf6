"""Upstream processes that a node has acknowledged as leaving."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, TypeAlias

from rhubarbhollow_distribution.endpoint_record import is_endpoint_name

# JSON represents integers up to this one exactly.
MAX_INTEGER: Final = (1 << 53) - 1
MAX_NODE_CHARACTERS: Final = 255

DepartureKey: TypeAlias = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Departure:
    """State that an upstream process drains or has deregistered.

    The process is that of ``name`` that started at ``started_at_ms``,
    in milliseconds since the epoch by its own clock.  0 stands for a
    process whose start the node does not know: every one that started
    before the node's calendar time ``noted_at_ms``.

    ``sequence`` is that of the latest announcement known then.  If the
    process only drains, later announcements still count.
    """

    name: str
    started_at_ms: int
    sequence: int
    is_withdrawn: bool
    noted_at_ms: int

    @property
    def key(self) -> DepartureKey:
        """Return what identifies the process at its node."""
        return (self.name, self.started_at_ms)

    @property
    def order(self) -> tuple[bool, int, int]:
        """Return the sort key by which the later statement wins."""
        return (self.is_withdrawn, self.sequence, self.noted_at_ms)


def is_usable(departure: Departure) -> bool:
    """Return whether a departure from another process can be used."""
    numbers = (
        departure.started_at_ms,
        departure.sequence,
        departure.noted_at_ms,
    )
    return is_endpoint_name(departure.name) and all(
        0 <= number <= MAX_INTEGER for number in numbers
    )

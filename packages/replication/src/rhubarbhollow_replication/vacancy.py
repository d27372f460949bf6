"""Proof that no member of the log holds a lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class Vacancy:
    """Collect and remember what members say about leases.

    After its start a replica has to assume that it backs a lease that
    it doesn't remember. If every member answers the probe of one round
    that it is no leader and has heard from none since its start, there
    is no lease, and an election need not wait.

    The proof holds for a voter only in the process that has answered
    the probe: in a later one it may again back a lease that it doesn't
    remember, of a leader elected meanwhile.
    """

    def __init__(self) -> None:
        self._round = 0
        self._without_lease: set[str] = set()
        self._confirmed: dict[str, int] = {}

    @property
    def round(self) -> int:
        """Return the number of this replica's latest probe."""
        return self._round

    def begin_round(self) -> None:
        """Forget the answers to earlier probes."""
        self._round += 1
        self._without_lease.clear()

    def record_answer(self, member: str, round_number: int) -> None:
        """Record that ``member`` holds no lease and knows of none."""
        if round_number == self._round:
            self._without_lease.add(member)

    def is_proved(self, others: Iterable[str]) -> bool:
        """Return whether all other members have answered this round."""
        return self._without_lease.issuperset(others)

    def note_confirmed(self, candidate: str, round_number: int) -> None:
        """Remember what this replica told a candidate."""
        self._confirmed[candidate] = round_number

    def has_confirmed(self, candidate: str, round_number: int) -> bool:
        """Return whether this process has answered that probe."""
        return self._confirmed.get(candidate) == round_number

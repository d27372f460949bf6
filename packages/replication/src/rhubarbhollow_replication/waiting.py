"""The requests whose entries are in the log but not applied."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from result import Err, Ok

from rhubarbhollow_replication.fault import OutcomeUnknown
from rhubarbhollow_replication.pending import (
    PendingChange,
    PendingProposal,
    PendingRead,
)

if TYPE_CHECKING:
    from rhubarbhollow_replication.core import Core, Position, ReadTicket

_Logged: TypeAlias = PendingProposal | PendingChange


@dataclass(frozen=True, slots=True)
class _Waiter:
    term: int
    request: _Logged


class Waiting:
    """Answer each request exactly once.

    A success is told only while the lease of the term in which the
    entry was proposed is live. Everything else is unknown, since the
    entry may already be on other replicas.
    """

    def __init__(self) -> None:
        self._waiters: dict[int, _Waiter] = {}
        self._reads: list[tuple[ReadTicket, PendingRead]] = []

    @property
    def count(self) -> int:
        """The number of requests that are not answered."""
        return len(self._waiters) + len(self._reads)

    def add(self, position: Position, request: _Logged) -> None:
        """Wait for the entry at ``position``."""
        self._waiters[position.index] = _Waiter(position.term, request)

    def add_read(self, ticket: ReadTicket, read: PendingRead) -> None:
        """Wait for the round of ``ticket``."""
        self._reads.append((ticket, read))

    def resolve(
        self, position: Position, outcome: object, core: Core, now: float
    ) -> None:
        """Answer the request whose entry was applied, if any."""
        waiter = self._waiters.pop(position.index, None)
        if waiter is None:
            return
        is_own = waiter.term == position.term == core.term
        if not is_own or not core.has_lease(now):
            waiter.request.answer.resolve(Err(OutcomeUnknown()))
            return
        match waiter.request:
            case PendingProposal(_, answer):
                answer.resolve(Ok(outcome))
            case PendingChange(_, change_answer):
                change_answer.resolve(Ok(None))

    def settle(self, core: Core, applied_index: int, now: float) -> None:
        """Answer what a change of leadership or a round decides."""
        stale = [
            index
            for index, waiter in self._waiters.items()
            if not core.leads(waiter.term)
        ]
        for index in stale:
            waiter = self._waiters.pop(index)
            waiter.request.answer.resolve(Err(OutcomeUnknown()))
        open_reads = self._reads
        self._reads = []
        for ticket, read in open_reads:
            is_confirmed = core.is_read_confirmed(ticket)
            if is_confirmed is None:
                read.answer.resolve(False)
            elif is_confirmed and applied_index >= ticket.index:
                read.answer.resolve(core.has_lease(now))
            else:
                self._reads.append((ticket, read))

    def abandon(self) -> None:
        """Answer everything, since nothing more will be known."""
        for waiter in self._waiters.values():
            waiter.request.answer.resolve(Err(OutcomeUnknown()))
        self._waiters.clear()
        for _, read in self._reads:
            read.answer.resolve(False)
        self._reads.clear()

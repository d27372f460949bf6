"""Tracking of requests that have not been answered yet."""

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

_EntryRequest: TypeAlias = PendingProposal | PendingChange


@dataclass(frozen=True, slots=True)
class _LoggedRequest:
    """A request and the term in which its entry was appended."""

    term: int
    request: _EntryRequest


class RequestTracker:
    """Track unanswered requests and answer each exactly once.

    Success is reported only while the lease of the term in which the
    entry was proposed is live. In all other cases the outcome is
    unknown, since the entry may already be on other replicas.
    """

    def __init__(self) -> None:
        self._logged_requests: dict[int, _LoggedRequest] = {}
        self._reads: list[tuple[ReadTicket, PendingRead]] = []

    @property
    def count(self) -> int:
        """The number of unanswered requests."""
        return len(self._logged_requests) + len(self._reads)

    def add(self, position: Position, request: _EntryRequest) -> None:
        """Track a request whose entry is at ``position``."""
        self._logged_requests[position.index] = _LoggedRequest(
            position.term, request
        )

    def add_read(self, ticket: ReadTicket, read: PendingRead) -> None:
        """Track a read that waits for the round of ``ticket``."""
        read.index = ticket.index
        self._reads.append((ticket, read))

    def resolve(
        self, position: Position, outcome: object, core: Core, now: float
    ) -> None:
        """Answer the request whose entry was applied, if any."""
        logged = self._logged_requests.pop(position.index, None)
        if logged is None:
            return
        is_own = logged.term == position.term == core.term
        if not is_own or not core.has_lease(now):
            logged.request.future.resolve(Err(OutcomeUnknown()))
            return
        match logged.request:
            case PendingProposal(_, future):
                future.resolve(Ok(outcome))
            case PendingChange(_, change_future):
                change_future.resolve(Ok(None))

    def settle(self, core: Core, applied_index: int, now: float) -> None:
        """Answer requests of ended terms and reads that are decided."""
        stale = [
            index
            for index, logged in self._logged_requests.items()
            if not core.is_leader_of(logged.term)
        ]
        for index in stale:
            logged = self._logged_requests.pop(index)
            logged.request.future.resolve(Err(OutcomeUnknown()))
        open_reads = self._reads
        self._reads = []
        for ticket, read in open_reads:
            is_confirmed = core.is_read_confirmed(ticket)
            if is_confirmed is None:
                read.future.resolve(False)
            elif is_confirmed and applied_index >= ticket.index:
                read.future.resolve(core.has_lease(now))
            else:
                self._reads.append((ticket, read))

    def abort_all(self) -> None:
        """Answer all requests as failed reads or unknown outcomes."""
        for logged in self._logged_requests.values():
            logged.request.future.resolve(Err(OutcomeUnknown()))
        self._logged_requests.clear()
        for _, read in self._reads:
            read.future.resolve(False)
        self._reads.clear()

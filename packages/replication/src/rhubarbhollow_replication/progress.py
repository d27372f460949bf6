"""What a leader knows of one peer."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhollow_replication.round_tag import untag_round

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_replication.entry import Entry
    from rhubarbhollow_replication.snapshot import Snapshot


@dataclass(slots=True)
class SnapshotTransfer:
    """Track how much of a snapshot a peer has asked for."""

    snapshot: Snapshot
    encoded: bytes
    offset: int = 0
    sent_at: float = 0.0


@dataclass(frozen=True, slots=True)
class SentBatch:
    """Remember a batch until its last index is durable at the peer."""

    last_index: int
    payload_bytes: int


@dataclass(slots=True)
class Progress:
    """Track one peer of a leader during its term.

    ``match_index`` is durable at the peer, ``next_index`` the next to
    send and ``store_id`` the store that the peer last answered from.
    ``answered_round`` is the round of its latest answer with the
    peer's tag, and ``echoed_round`` what that was when the current
    round began, so that the peer can tell how late that was.
    """

    next_index: int
    last_contact_at: float
    match_index: int = 0
    answered_round: int = 0
    echoed_round: int = 0
    store_id: str = ""
    transfer: SnapshotTransfer | None = None
    in_flight: deque[SentBatch] = field(default_factory=deque)

    @property
    def acked_round(self) -> int:
        """The latest round that the peer has answered."""
        return untag_round(self.answered_round)

    @property
    def in_flight_bytes(self) -> int:
        """The payload bytes sent and not yet known to be durable."""
        return sum(batch.payload_bytes for batch in self.in_flight)

    def record_store(self, store_id: str, last_index: int) -> None:
        """Start over if the peer came back with another store."""
        if store_id == self.store_id:
            return
        self.store_id = store_id
        self.match_index = 0
        self.answered_round = 0
        self.echoed_round = 0
        self.next_index = last_index + 1
        self.transfer = None
        self.in_flight.clear()

    def record_answer(self, tagged_round: int) -> None:
        """Keep the answer to the latest round."""
        if untag_round(tagged_round) > self.acked_round:
            self.answered_round = tagged_round

    def record_sent(self, entries: Iterable[Entry]) -> None:
        """Expect the peer to take a batch, and go on after it."""
        size = 0
        for entry in entries:
            size += len(entry.payload)
            self.next_index = entry.index + 1
        self.in_flight.append(SentBatch(self.next_index - 1, size))

    def record_match(self, index: int) -> None:
        """Raise what is durable at the peer."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, index + 1)
        while self.in_flight and self.in_flight[0].last_index <= index:
            self.in_flight.popleft()
        if self.transfer and index >= self.transfer.snapshot.last_index:
            self.transfer = None

    def record_rejection(self, hint: int) -> None:
        """Go back to where the peer says its log may agree.

        The hint may lie below the match, when the reply is an old one
        or names the start of a term: that only sends entries again.
        """
        self.next_index = hint + 1
        self.in_flight.clear()
